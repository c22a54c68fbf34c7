import java.util.ArrayList;
import java.util.List;

/** The configuration of one proxy of a small deployment, as the operators' page on deployment has it. */
final class Settings {
    private final List<String> classes = new ArrayList<>();
    int balancers = 2;
    int streams = 16;
    int memoryMb = 192;
    int sockets = 1024;
    boolean secondCopies = true;

    /** Adds a class of requests; {@code effect}: retryable, dedup or fragile. */
    Settings add(String name, String effect, int promiseMs, int deadlineMs) {
        classes.add(("{'name':'%s','idempotency':'%s','promise':%d.0,'deadline':%d.0,'gain':1.0,'late-share':0.3,"
                        + "'stream':false,'group':'all','window':1500.0}")
                .formatted(name, effect, promiseMs, deadlineMs));
        return this;
    }

    String json(String name, String listen, String discovery, String knownList) {
        String text = "{'name':'" + name + "','listen':'" + listen + "','discovery':'" + discovery
                + "','seed':'8c1f30d27a5be964',"
                + "'limits':{'cores':1.0,'memory_mb':" + memoryMb + ",'sockets':" + sockets + "},"
                + "'known':" + knownList + ",'settings':{"
                + "'me':0,'balancers':" + balancers + ",'locality':0,'discovery':'ask','value-by':'request',"
                + "'over-share-worth':0.1,'zones':['a'],'kinds':['m1','origin'],'tenants':[],"
                + "'tiers':['sub-cache'],'tier':0,'period':5.0,'weight-kind':'silent','workload':'cache',"
                + "'callers':{'marks-retry':true},'report':{'how':'silent','names':[]},"
                + "'caps':{'may-cancel':true,'may-probe':false,'peers':false,'second-copies':" + secondCopies
                + ",'retry-after':true,'max-attempts':3,'max-retry-after':500.0,'connect-timeout':500.0,"
                + "'idle-close':30000.0,'streams-per-conn':" + streams
                + ",'max-open':20000,'cpu-us-per-request':0.0,'cpu-us-per-s':400000},"
                + "'extra':{'mode':'aside','origin-kind':1,'origin-fall-multiple':0.0,'origin-fall':3000.0},"
                + "'guarantees':{'drain-grace':2000.0,'grace-to-answer':20.0,'start-capacity':0.3,"
                + "'warm-up':9000.0,'tip-multiple':3.0,'fall':1500.0,'ask-within':10000.0},"
                + "'classes':[" + String.join(",", classes) + "]}}";
        return text.replace('\'', '"');
    }
}
