import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of the protocol: keys, transactions, leases, watches and limits. */
final class StateService implements Http.Handler {
    private record Value(Object data, long stamp, Long permit) {
    }

    private record Event(String key, Object data, long stamp) {
    }

    private static final class Lease {
        final long ttlMs;
        long untilNanos;

        Lease(long ttlMs) {
            this.ttlMs = ttlMs;
            renew();
        }

        void renew() {
            untilNanos = System.nanoTime() + ttlMs * 1_000_000;
        }
    }

    private static final int KEPT_EVENTS = 10_000;
    private static final int MAX_ITEMS = 1000;
    private final TreeMap<String, Value> values = new TreeMap<>();
    private final ArrayList<Event> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Budget requests;
    private final Budget changes;
    private final int valueBytes;
    private final int maxWrites;
    private long ledger = 1;
    private long lastPermit;

    StateService(double rps, double writeRps, double valueKb, int maxWrites) {
        requests = new Budget(rps, 1.0);
        changes = new Budget(writeRps, 1.0);
        valueBytes = (int) (valueKb * 1024);
        this.maxWrites = maxWrites;
        Http.daemon("leases", () -> {
            while (true) {
                expireLeases();
                Sites.sleep(20);
            }
        });
    }

    /** The text of a key's value, or null. */
    synchronized String text(String key) {
        Value value = values.get(key);
        return value == null ? null : Json.write(value.data);
    }

    private synchronized void expireLeases() {
        long now = System.nanoTime();
        for (Map.Entry<Long, Lease> lease : new ArrayList<>(leases.entrySet())) {
            if (now > lease.getValue().untilNanos) endLease(lease.getKey());
        }
    }

    private void endLease(long permit) {
        if (leases.remove(permit) == null) return;
        List<String> attached = new ArrayList<>();
        values.forEach((key, value) -> {
            if (value.permit != null && value.permit == permit) attached.add(key);
        });
        if (attached.isEmpty()) return;
        ledger++;
        attached.forEach(this::drop);
        notifyAll();
    }

    private void drop(String key) {
        if (values.remove(key) != null) add(new Event(key, null, ledger));
    }

    private void add(Event event) {
        events.add(event);
        if (events.size() > KEPT_EVENTS) events.remove(0);
    }

    @Override
    public Http.Reply handle(Http.Request request) throws Exception {
        if (!requests.take(1)) return new Http.Reply(429, "{}");
        Sites.sleep(3);
        String path = request.path().contains("?") ? request.path().substring(0, request.path().indexOf('?')) : request.path();
        Map<String, String> query = Sites.query(request.path());
        synchronized (this) {
            if (path.equals("/multi")) return transact(Json.object(request.body()));
            if (path.equals("/kv")) return list(query);
            if (path.startsWith("/kv/")) return get(path.substring(4));
            if (path.equals("/changes")) return watch(query);
            if (path.equals("/holds")) {
                long permit = ++lastPermit;
                leases.put(permit, new Lease((Long) Json.object(request.body()).get("ttlMs")));
                return new Http.Reply(200, "{\"permit\":" + permit + "}");
            }
            if (path.startsWith("/holds/")) {
                long permit = Long.parseLong(path.split("/")[2]);
                Lease lease = leases.get(permit);
                if (lease == null) return new Http.Reply(404, "{}");
                if (request.method().equals("DELETE")) endLease(permit);
                else lease.renew();
                return new Http.Reply(200, "{}");
            }
        }
        return new Http.Reply(400, "{}");
    }

    private Http.Reply get(String key) {
        Value value = values.get(key);
        if (value == null) return new Http.Reply(404, "{\"ledger\":" + ledger + "}");
        return new Http.Reply(200, Json.write(Json.map("k", key, "data", value.data, "stamp", value.stamp)));
    }

    private Http.Reply list(Map<String, String> query) {
        String starts = query.getOrDefault("starts", "");
        String from = query.get("from");
        long limit = Math.min(MAX_ITEMS, Long.parseLong(query.getOrDefault("limit", "" + MAX_ITEMS)));
        List<Object> entries = new ArrayList<>();
        boolean truncated = false;
        for (Map.Entry<String, Value> entry : values.tailMap(from == null ? starts : from, from == null).entrySet()) {
            if (!entry.getKey().startsWith(starts)) break;
            if (entries.size() >= limit) {
                truncated = true;
                break;
            }
            entries.add(Json.map("k", entry.getKey(), "data", entry.getValue().data, "stamp", entry.getValue().stamp));
        }
        return new Http.Reply(200, Json.write(Json.map("entries", entries, "truncated", truncated, "ledger", ledger)));
    }

    @SuppressWarnings("unchecked")
    private Http.Reply transact(Map<String, Object> body) {
        List<Map<String, Object>> writes = (List<Map<String, Object>>) body.getOrDefault("writes", List.of());
        List<Map<String, Object>> conditions = (List<Map<String, Object>>) body.getOrDefault("if", List.of());
        if (writes.size() > maxWrites || conditions.size() > 4 * maxWrites) return new Http.Reply(400, "{\"error\":\"too many\"}");
        for (Map<String, Object> write : writes) {
            if (write.containsKey("data") && Json.write(write.get("data")).length() > valueBytes) {
                return new Http.Reply(400, "{\"error\":\"value too large\"}");
            }
        }
        if (!changes.take(writes.size())) return new Http.Reply(429, "{}");
        for (Map<String, Object> write : writes) {
            if (write.get("permit") != null && !leases.containsKey((Long) write.get("permit"))) {
                return new Http.Reply(400, "{\"error\":\"no such lease\"}");
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> condition : conditions) {
            Value value = values.get((String) condition.get("k"));
            if ((value == null ? 0 : value.stamp) != (Long) condition.get("stamp")) failed.add(condition.get("k"));
        }
        if (!failed.isEmpty()) return new Http.Reply(409, Json.write(Json.map("failed", failed, "ledger", ledger)));
        if (!writes.isEmpty()) ledger++;
        for (Map<String, Object> write : writes) {
            if (write.containsKey("drop")) {
                drop((String) write.get("drop"));
            } else {
                String key = (String) write.get("set");
                values.put(key, new Value(write.get("data"), ledger, (Long) write.get("permit")));
                add(new Event(key, write.get("data"), ledger));
            }
        }
        notifyAll();
        return new Http.Reply(200, "{\"ledger\":" + ledger + "}");
    }

    private Http.Reply watch(Map<String, String> query) throws InterruptedException {
        String starts = query.getOrDefault("starts", "");
        long from = Long.parseLong(query.get("from"));
        long untilNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            if (events.size() >= KEPT_EVENTS && events.get(0).stamp > from + 1) return new Http.Reply(410, "{}");
            List<Object> news = new ArrayList<>();
            int first = events.size();
            while (first > 0 && events.get(first - 1).stamp > from) first--;
            for (Event event : events.subList(first, events.size())) {
                if (!event.key.startsWith(starts)) continue;
                news.add(event.data == null
                    ? Json.map("drop", event.key, "stamp", event.stamp)
                    : Json.map("set", event.key, "data", event.data, "stamp", event.stamp));
            }
            long remainingMs = (untilNanos - System.nanoTime()) / 1_000_000;
            if (!news.isEmpty() || remainingMs <= 0) {
                return new Http.Reply(200, Json.write(Json.map("ledger", ledger, "events", news)));
            }
            wait(remainingMs);
        }
    }
}
