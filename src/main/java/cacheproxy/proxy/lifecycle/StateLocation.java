package cacheproxy.proxy.lifecycle;

import java.nio.file.Path;

/**
 * Where an instance stores the state that outlasts its process.
 *
 * @param folder a folder that no other instance uses
 * @param fleetName the name of its fleet; stored state of another fleet is not used
 */
public record StateLocation(Path folder, String fleetName) {}
