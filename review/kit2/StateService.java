import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service: keys with revisions, transactions on conditions, leases and watches, with the limits of the protocol page. */
final class StateService implements Server.Handler {
    private static final int KEPT_EVENTS = 10_000;
    private static final int PAGE = 1000;
    private static final int PAGE_BYTES = 512 * 1024;
    private static final int TRANSACTION_BYTES = 64 * 1024;
    private static final int LATENCY_MILLIS = 4;

    private record Value(JsonNode data, long stamp, Long permit) {}

    private record Event(String key, JsonNode data, long stamp) {}

    private static final class Lease {
        final long ttlNanos;
        long until;

        Lease(long ttlNanos) {
            this.ttlNanos = ttlNanos;
            extend();
        }

        void extend() {
            until = System.nanoTime() + ttlNanos;
        }
    }

    private final TreeMap<String, Value> values = new TreeMap<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Bucket requests;
    private final Bucket writes;
    private final int valueBytes;
    private final int transactionWrites;
    private volatile String lateAnswerTo;
    private volatile long lateAnswerMillis;
    private long ledger = 1;
    private long lastPermit = 0;

    StateService(double rps, double writeRps, double valueKb, int transactionWrites) {
        requests = new Bucket(rps, 1.0);
        writes = new Bucket(writeRps, 1.0);
        valueBytes = (int) (valueKb * 1024);
        this.transactionWrites = transactionWrites;
        Thread expiry = new Thread(this::expireLeases);
        expiry.setDaemon(true);
        expiry.start();
    }

    private void expireLeases() {
        while (true) {
            try {
                Thread.sleep(20);
            } catch (InterruptedException end) {
                return;
            }
            synchronized (this) {
                long now = System.nanoTime();
                List<Long> ended = new ArrayList<>();
                leases.forEach((permit, lease) -> {
                    if (now - lease.until > 0) ended.add(permit);
                });
                ended.forEach(this::endLease);
            }
        }
    }

    private void endLease(long permit) {
        if (leases.remove(permit) == null) return;
        List<String> attached = new ArrayList<>();
        values.forEach((key, value) -> {
            if (value.permit() != null && value.permit() == permit) attached.add(key);
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
        events.addLast(event);
        if (events.size() > KEPT_EVENTS) events.removeFirst();
    }

    @Override
    public Server.Reply handle(Server.Request request) throws InterruptedException {
        Thread.sleep(LATENCY_MILLIS);
        if (!requests.take(1)) return Server.Reply.of(429);
        String path = request.path();
        if (path.equals("/multi")) {
            Server.Reply reply = multi(Json.read(request.body()), request.body().length);
            long late = lateBy(request);
            if (late > 0) Thread.sleep(late);
            return reply;
        }
        if (path.equals("/kv")) return list(request);
        if (path.startsWith("/kv/")) return get(path.substring(4));
        if (path.equals("/changes")) return changes(request);
        if (path.equals("/holds")) return open(Json.read(request.body()));
        if (path.startsWith("/holds/")) return hold(request);
        return Server.Reply.of(400);
    }

    /** The next transaction that names [job] is carried out at once like any other, and answered [millis] late. */
    synchronized void answerLate(String job, long millis) {
        lateAnswerMillis = millis;
        lateAnswerTo = job;
    }

    private synchronized long lateBy(Server.Request request) {
        String job = lateAnswerTo;
        if (job == null || !new String(request.body(), java.nio.charset.StandardCharsets.UTF_8).contains(job)) return 0;
        lateAnswerTo = null;
        return lateAnswerMillis;
    }

    private synchronized Server.Reply open(JsonNode body) {
        long ttl = body == null ? 0 : body.path("ttlMs").asLong();
        if (ttl < 100 || ttl > 600_000) return Server.Reply.of(400);
        leases.put(++lastPermit, new Lease(ttl * 1_000_000));
        return Server.Reply.of(200, Json.object().put("permit", lastPermit));
    }

    private synchronized Server.Reply hold(Server.Request request) {
        long permit = Long.parseLong(request.path().split("/")[2]);
        Lease lease = leases.get(permit);
        if (lease == null) return Server.Reply.of(404);
        if (request.method().equals("DELETE")) endLease(permit);
        else lease.extend();
        return Server.Reply.of(200, Json.object());
    }

    private ObjectNode entry(String key, Value value) {
        ObjectNode node = Json.object().put("k", key);
        node.set("data", value.data());
        node.put("stamp", value.stamp());
        if (value.permit() != null) node.put("permit", value.permit());
        return node;
    }

    private synchronized Server.Reply get(String key) {
        Value value = values.get(key);
        if (value == null) return Server.Reply.of(404, Json.object().put("ledger", ledger));
        return Server.Reply.of(200, entry(key, value));
    }

    private synchronized Server.Reply list(Server.Request request) {
        String prefix = request.query().getOrDefault("starts", "");
        String from = request.query().get("from");
        int limit = Math.min(PAGE, Integer.parseInt(request.query().getOrDefault("limit", "" + PAGE)));
        ObjectNode body = Json.object();
        ArrayNode entries = body.putArray("entries");
        boolean truncated = false;
        int bytes = 0;
        for (var item : (from == null ? values.tailMap(prefix, true) : values.tailMap(from, false)).entrySet()) {
            if (!item.getKey().startsWith(prefix)) break;
            ObjectNode node = entry(item.getKey(), item.getValue());
            bytes += Json.write(node).length;
            if (entries.size() == limit || bytes > PAGE_BYTES) {
                truncated = true;
                break;
            }
            entries.add(node);
        }
        return Server.Reply.of(200, body.put("truncated", truncated).put("ledger", ledger));
    }

    private synchronized Server.Reply multi(JsonNode body, int size) {
        if (body == null || size > TRANSACTION_BYTES) return Server.Reply.of(400, Json.object().put("error", "malformed"));
        JsonNode conditions = body.path("if");
        JsonNode puts = body.path("writes");
        if (puts.size() > transactionWrites || conditions.size() > 4 * transactionWrites) {
            return Server.Reply.of(400, Json.object().put("error", "too many"));
        }
        if (!writes.take(puts.size())) return Server.Reply.of(429);
        for (JsonNode write : puts) {
            if (write.has("data") && Json.write(write.get("data")).length > valueBytes) {
                return Server.Reply.of(400, Json.object().put("error", "value too large"));
            }
            if (write.hasNonNull("permit") && !leases.containsKey(write.get("permit").asLong())) {
                return Server.Reply.of(400, Json.object().put("error", "no such lease"));
            }
        }
        ObjectNode conflict = Json.object();
        ArrayNode failed = conflict.putArray("failed");
        for (JsonNode condition : conditions) {
            Value present = values.get(condition.get("k").asText());
            if ((present == null ? 0 : present.stamp()) != condition.get("stamp").asLong()) failed.add(condition.get("k").asText());
        }
        if (failed.size() > 0) return Server.Reply.of(409, conflict.put("ledger", ledger));
        if (puts.size() > 0) ledger++;
        for (JsonNode write : puts) {
            if (write.has("drop")) {
                drop(write.get("drop").asText());
            } else {
                String key = write.get("set").asText();
                Long permit = write.hasNonNull("permit") ? write.get("permit").asLong() : null;
                values.put(key, new Value(write.get("data"), ledger, permit));
                add(new Event(key, write.get("data"), ledger));
            }
        }
        notifyAll();
        return Server.Reply.of(200, Json.object().put("ledger", ledger));
    }

    private synchronized Server.Reply changes(Server.Request request) throws InterruptedException {
        String prefix = request.query().getOrDefault("starts", "");
        long from = Long.parseLong(request.query().get("from"));
        long until = System.nanoTime() + Long.parseLong(request.query().getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            if (events.size() == KEPT_EVENTS && events.getFirst().stamp() > from + 1) return Server.Reply.of(410);
            ObjectNode body = Json.object().put("ledger", ledger);
            ArrayNode news = body.putArray("events");
            for (Event event : events) {
                if (event.stamp() <= from || !event.key().startsWith(prefix)) continue;
                ObjectNode node = news.addObject();
                if (event.data() == null) node.put("drop", event.key());
                else node.put("set", event.key()).set("data", event.data());
                node.put("stamp", event.stamp());
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (news.size() > 0 || left <= 0) return Server.Reply.of(200, body);
            wait(left);
        }
    }
}
