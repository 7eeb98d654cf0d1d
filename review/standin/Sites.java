import java.util.HashMap;
import java.util.Map;

/** Small helpers that the stand-ins share. */
final class Sites {
    /** What a worker knows of the deployment. */
    static final class Settings {
        double reportS = 2.0;
        double leaseS = 12.0;
        double cancelS = 32.0;
        String[] members;
        int[] clientPorts;
    }

    private Sites() {
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Map<String, String> query(String path) {
        Map<String, String> query = new HashMap<>();
        int mark = path.indexOf('?');
        if (mark < 0) return query;
        for (String part : path.substring(mark + 1).split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) query.put(part.substring(0, equals), part.substring(equals + 1));
        }
        return query;
    }
}
