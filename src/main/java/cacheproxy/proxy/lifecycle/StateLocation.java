package cacheproxy.proxy.lifecycle;

import java.nio.file.Path;

/**
 * Where an instance stores what outlasts its process.
 *
 * @param folder of this instance alone
 * @param fleetName the name of its fleet; a folder of another fleet is not used
 */
public record StateLocation(Path folder, String fleetName) {}
