import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The cloud: rents machines of its types while it has any, lists them with a lag, and deletes them. */
final class Cloud implements Server.Handler {
    /** A machine type, and how many machines of it there are by zone and kind ("zone/true" for spot machines). */
    record Type(String name, double cpus, double memoryGb, double price, double spotPrice, double bootSeconds, Map<String, Integer> capacity) {}

    static final class Machine {
        final String name;
        final Type type;
        final String zone;
        final boolean spot;
        final long rentedAt = System.nanoTime();
        volatile boolean up;
        volatile boolean gone;
        volatile Worker worker;

        Machine(String name, Type type, String zone, boolean spot) {
            this.name = name;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
        }

        String kind() {
            return zone + "/" + spot;
        }
    }

    private record Snapshot(long at, List<ObjectNode> machines) {}

    private final List<Type> types;
    private final List<String> zones;
    private final double lagSeconds;
    private final Bucket requests;
    private final Consumer<Machine> boot;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, List<String>> answers = new HashMap<>();
    private final List<Snapshot> snapshots = new ArrayList<>();
    private int created;

    Cloud(List<Type> types, List<String> zones, double rps, double lagSeconds, Consumer<Machine> boot) {
        this.types = types;
        this.zones = zones;
        this.lagSeconds = lagSeconds;
        this.boot = boot;
        requests = new Bucket(rps, 2.0);
        Thread clock = new Thread(() -> {
            while (true) {
                step();
                try {
                    Thread.sleep(100);
                } catch (InterruptedException end) {
                    return;
                }
            }
        });
        clock.setDaemon(true);
        clock.start();
    }

    private void step() {
        List<Machine> booted = new ArrayList<>();
        synchronized (this) {
            long now = System.nanoTime();
            List<ObjectNode> listed = new ArrayList<>();
            for (Machine machine : machines.values()) {
                double age = (now - machine.rentedAt) / 1e9;
                if (!machine.up && age >= machine.type.bootSeconds()) {
                    machine.up = true;
                    booted.add(machine);
                }
                listed.add(Json.object().put("nameId", machine.name).put("fleet", machine.type.name()).put("depot", machine.zone)
                    .put("borrowed", machine.spot).put("status", machine.up ? "running" : "starting").put("ageS", age)
                    .put("addr", machine.worker == null ? "127.0.0.1:9" : machine.worker.address()));
            }
            snapshots.add(new Snapshot(now, listed));
            while (snapshots.size() > 1 && now - snapshots.get(1).at() > lagSeconds * 1e9) snapshots.remove(0);
        }
        booted.forEach(boot);
    }

    synchronized List<Machine> up() {
        return machines.values().stream().filter(machine -> machine.up && machine.worker != null).toList();
    }

    @Override
    public Server.Reply handle(Server.Request request) {
        if (!requests.take(1)) return Server.Reply.of(429);
        if (request.path().equals("/machine_types")) return types();
        if (request.path().equals("/machines/delete")) return delete(Json.read(request.body()));
        if (!request.path().equals("/machines")) return Server.Reply.of(400);
        return request.method().equals("GET") ? list(request) : rent(Json.read(request.body()));
    }

    private Server.Reply types() {
        ObjectNode body = Json.object();
        ArrayNode fleets = body.putArray("fleets");
        for (Type type : types) {
            ObjectNode node = fleets.addObject().put("name", type.name()).put("vcpus", type.cpus()).put("gpus", 0.0)
                .put("memoryGb", type.memoryGb()).put("localGb", 60.0).put("pullGbPerS", 0.6).put("price", type.price())
                .put("lowPrice", type.spotPrice()).put("bootS", type.bootSeconds());
            ArrayNode depots = node.putArray("depots");
            zones.forEach(depots::add);
        }
        return Server.Reply.of(200, body);
    }

    private synchronized Server.Reply list(Server.Request request) {
        String from = request.query().getOrDefault("from", "");
        int limit = Integer.parseInt(request.query().getOrDefault("limit", "500"));
        ObjectNode body = Json.object();
        ArrayNode trucks = body.putArray("trucks");
        boolean truncated = false;
        for (ObjectNode machine : snapshots.get(0).machines()) {
            if (machine.get("nameId").asText().compareTo(from) <= 0) continue;
            if (trucks.size() == limit) truncated = true;
            else trucks.add(machine);
        }
        return Server.Reply.of(200, body.put("truncated", truncated));
    }

    private synchronized Server.Reply rent(JsonNode body) {
        String hire = body.get("hire").asText();
        List<String> names = answers.get(hire);
        if (names == null) {
            Type type = types.stream().filter(one -> one.name().equals(body.get("fleet").asText())).findFirst().orElseThrow();
            String kind = body.get("depot").asText() + "/" + body.get("borrowed").asBoolean();
            long taken = machines.values().stream().filter(machine -> machine.type == type && machine.kind().equals(kind)).count();
            long left = Math.min(type.capacity().getOrDefault(kind, 0) - taken, body.get("howMany").asInt());
            if (left <= 0) return Server.Reply.of(503, Json.object().put("error", "no capacity"));
            names = new ArrayList<>();
            for (int index = 0; index < left; index++) {
                Machine machine = new Machine(String.format("i-%06d", ++created), type, body.get("depot").asText(), body.get("borrowed").asBoolean());
                machines.put(machine.name, machine);
                names.add(machine.name);
            }
            answers.put(hire, names);
        }
        ObjectNode reply = Json.object();
        ArrayNode trucks = reply.putArray("trucks");
        names.forEach(trucks::add);
        return Server.Reply.of(200, reply);
    }

    private synchronized Server.Reply delete(JsonNode body) {
        for (JsonNode name : body.get("trucks")) {
            Machine machine = machines.remove(name.asText());
            if (machine == null) continue;
            machine.gone = true;
            if (machine.worker != null) machine.worker.end();
        }
        return Server.Reply.of(200, Json.object());
    }
}
