import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The cloud of the protocol: one machine type; the list lags. */
final class Cloud implements Http.Handler {
    /** Called when a machine is up; returns the port of its worker. */
    interface Boot {
        int up(Machine machine) throws Exception;
    }

    /** How long the machine of this number takes to come up, in milliseconds; negative: it never does. */
    interface BootTime {
        long ms(int number);
    }

    static final class Machine {
        String name;
        String zone;
        boolean spot;
        int port = 1;
        boolean up;
        boolean gone;
        long rentedNanos = System.nanoTime();
        long goneNanos;
        Worker worker;
    }

    private static final long LAG_NANOS = 3_000_000_000L;
    final double cpus;
    private final double memoryGb;
    private final String type;
    private final List<String> zones;
    private final int perZone;
    private final BootTime bootTime;
    private final Boot boot;
    private final Record record;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, List<Object>> answers = new HashMap<>();
    private int created;

    Cloud(String type, double cpus, double memoryGb, List<String> zones, int perZone, BootTime bootTime, Record record, Boot boot) {
        this.type = type;
        this.cpus = cpus;
        this.memoryGb = memoryGb;
        this.zones = zones;
        this.perZone = perZone;
        this.bootTime = bootTime;
        this.record = record;
        this.boot = boot;
    }

    synchronized List<Machine> running() {
        List<Machine> running = new ArrayList<>();
        for (Machine machine : machines.values()) if (machine.up && !machine.gone) running.add(machine);
        return running;
    }

    @Override
    @SuppressWarnings("unchecked")
    public synchronized Http.Reply handle(Http.Request request) {
        if (request.path().equals("/machine_types")) {
            return new Http.Reply(200, Json.write(Json.map("fleets", List.of(Json.map("name", type, "vcpus", cpus, "gpus", 0L,
                "memoryGb", memoryGb, "localGb", 60.0, "pullGbPerS", 0.6, "price", 1.06, "lowPrice", 0.43, "bootS", 35.0,
                "depots", new ArrayList<Object>(zones))))));
        }
        if (request.path().startsWith("/machines?")) return list(Sites.query(request.path()).getOrDefault("from", ""));
        Map<String, Object> body = Json.object(request.body());
        if (request.path().equals("/machines")) return rent(body);
        for (Object name : (List<Object>) body.get("trucks")) remove(machines.get((String) name));
        record.add("cloud deleted " + body.get("trucks"));
        return new Http.Reply(200, "{}");
    }

    private void remove(Machine machine) {
        if (machine == null || machine.gone) return;
        machine.gone = true;
        machine.goneNanos = System.nanoTime();
        if (machine.worker != null) machine.worker.die();
    }

    private Http.Reply rent(Map<String, Object> body) {
        List<Object> names = answers.get((String) body.get("hire"));
        if (names == null) {
            String zone = (String) body.get("depot");
            boolean spot = (Boolean) body.get("borrowed");
            long present = machines.values().stream().filter(m -> !m.gone && m.zone.equals(zone) && m.spot == spot).count();
            long count = Math.min((Long) body.get("howMany"), perZone - present);
            if (count <= 0) return new Http.Reply(503, "{\"error\":\"no capacity\"}");
            names = new ArrayList<>();
            for (int i = 0; i < count; i++) names.add(create(zone, spot).name);
            answers.put((String) body.get("hire"), names);
            record.add("cloud rented " + names);
        }
        return new Http.Reply(200, Json.write(Json.map("trucks", names)));
    }

    private Machine create(String zone, boolean spot) {
        Machine machine = new Machine();
        machine.name = String.format("i-%06d", ++created);
        machine.zone = zone;
        machine.spot = spot;
        machines.put(machine.name, machine);
        long bootMs = bootTime.ms(created);
        if (bootMs < 0) return machine;
        Http.daemon("boot", () -> {
            Sites.sleep(bootMs);
            try {
                synchronized (this) {
                    if (machine.gone) return;
                    machine.port = boot.up(machine);
                    machine.up = true;
                }
            } catch (Exception e) {
                record.add("harness: " + e);
            }
        });
        return machine;
    }

    private Http.Reply list(String from) {
        long asOf = System.nanoTime() - LAG_NANOS;
        List<Object> listed = new ArrayList<>();
        for (Machine machine : machines.values()) {
            if (machine.name.compareTo(from) <= 0 || machine.rentedNanos > asOf || (machine.gone && machine.goneNanos <= asOf)) continue;
            listed.add(Json.map("nameId", machine.name, "addr", "127.0.0.1:" + machine.port, "fleet", type, "depot", machine.zone,
                "borrowed", machine.spot, "status", machine.up ? "running" : "starting",
                "ageS", (asOf - machine.rentedNanos) / 1e9));
        }
        return new Http.Reply(200, Json.write(Json.map("trucks", listed, "truncated", false)));
    }
}
