import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The configuration of a small deployment, with the settings of the operators' pages for hcm-render. */
final class Deployment {
    final List<String> hosts = new ArrayList<>();
    int proxies = 1;
    int sockets = 1024;
    int memoryMb = 192;
    boolean unsafeReads;
    double deadlineMs = 1000;

    void cacheNode(int number, int port) {
        host(String.format("s-%08x", 0x1000 + 977 * number), port, number % 2 == 0 ? "node-fast" : "node-slow", number);
    }

    void origin(int port) {
        host("s-0000ffee", port, "origin", 99);
    }

    private void host(String host, int port, String kind, int block) {
        hosts.add(String.format(
                "{\"host\":\"%s\",\"dial\":\"127.0.0.1:%d\",\"site\":\"tan-thuan\",\"class\":\"%s\",\"block\":%d,"
                        + "\"health\":\"up\",\"share\":1.0,\"born_ms\":0}",
                host, port, kind, block));
    }

    String list() {
        return "{\"seq\":41,\"whole\":true,\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    /** The file that BALANCER_CONFIG names. */
    String config(String name, int port, int discoveryPort) throws IOException {
        return config(name, port, discoveryPort, 0);
    }

    /** The same, with an address for operators. */
    String config(String name, int port, int discoveryPort, int operatorPort) throws IOException {
        String peer = "127.0.0.1:" + Rig.freePort();
        StringBuilder peers = new StringBuilder("'" + peer + "'");
        for (int i = 1; i < proxies; i++) { // proxies of the tier that are not played: nobody answers there
            peers.append(",'127.0.0.").append(100 + i).append(":7946'");
        }
        return ("{'name':'" + name + "','listen':'127.0.0.1:" + port + "','discovery':'127.0.0.1:" + discoveryPort
                        + "','seed':'8c1f30d27a5be964',"
                        + "'limits':{'cores':1.0,'memory_mb':" + memoryMb + ",'sockets':" + sockets + "},"
                        + "'peer_listen':'" + peer + "','peers':[" + peers + "],"
                        + "'known':KNOWN,"
                        + (operatorPort == 0 ? "" : "'operator':'127.0.0.1:" + operatorPort + "',")
                        + "'settings':{'balancers':" + proxies + ",'me':0,'locality':0,'discovery':'ask',"
                        + "'callers':{'marks-retry':true},"
                        + "'caps':{'connect-timeout':100.0,'cpu-us-per-request':0.0,'cpu-us-per-s':405877,"
                        + "'idle-close':30000.0,'max-attempts':3,'max-open':20293,'max-retry-after':500.0,"
                        + "'may-cancel':true,'may-probe':false,'peers':true,'retry-after':true,'second-copies':true,"
                        + "'streams-per-conn':128},"
                        + "'classes':["
                        + serviceClass("seg-text", unsafeReads ? "fragile" : "retryable", 250, deadlineMs, 1, 0.2) + ","
                        + serviceClass("seg-image", "retryable", 300, deadlineMs, 1, 0.5) + ","
                        + serviceClass("fix-submit", "fragile", 250, Math.min(600, deadlineMs), 5, 0.3) + ","
                        + serviceClass("track-publish", "dedup", 500, deadlineMs, 10, 0.2) + "],"
                        + "'deductions':{'cross-zone':0.08,'late-fail':0.03,'peer':0.01,'waste':0.02},"
                        + "'extra':{'mode':'aside','origin-fall':3000.0,'origin-fall-multiple':0.0,'origin-kind':2},"
                        + "'goal':{'whole':0.55,'worst-class':0.3,'worst-tenant':0.0,'worst-window':0.15},"
                        + "'guarantees':{'ask-within':10000.0,'drain-grace':2000.0,'fall':1500.0,"
                        + "'grace-to-answer':20.0,'start-capacity':0.3,'tip-multiple':3.0,'warm-up':9000.0},"
                        + "'kinds':['node-fast','node-slow','origin'],'over-share-worth':0.1,'period':5.0,"
                        + "'report':{'how':'silent','names':[]},'tenants':[],'tier':0,'tiers':['sub-cache'],"
                        + "'value-by':'request','weight-kind':'nominal','workload':'cache',"
                        + "'zones':['tan-thuan','quang-trung','thu-duc','binh-duong']}}")
                .replace('\'', '"')
                .replace("KNOWN", list());
    }

    private static String serviceClass(
            String name, String repeats, double promise, double deadline, double gain, double late) {
        return "{'deadline':" + deadline + ",'gain':" + gain + ",'group':'all','idempotency':'" + repeats
                + "','late-share':" + late + ",'name':'" + name + "','promise':" + Math.min(promise, deadline)
                + ",'stream':false,'window':1500.0}";
    }
}
