import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The worker of one machine, by the protocol page: reports, commands, tokens, sessions and leases. */
final class Worker implements Server.Handler {
    /** No request body may be larger. */
    static final int MAX_BODY_BYTES = 64 * 1024;
    private static final double FETCH_GB_PER_SECOND = 0.6;

    /** What the users have told the workers of their jobs, and what becomes of the tasks. */
    interface World {
        /** The submission of [job], or null where nobody has submitted it. */
        JsonNode job(String job);

        /** After how many seconds a task fails on this machine, or null where it doesn't. */
        default Double failsAfter(Worker worker, String task) {
            return null;
        }

        default void started(Worker worker, String task, long trip) {}

        /** [how] is the cause that is reported, or "lease" where the worker's lease ran out. */
        default void ended(Worker worker, String task, long trip, String how, double ranSeconds) {}

        default void reportTooLarge(Worker worker, int bytes, int tasks) {}
    }

    private static final class Task {
        final String name;
        final long trip;
        JsonNode job;
        String status = "pulling";
        String cause;
        double readyAt;
        double startedAt;
        double endsAt = Double.MAX_VALUE;
        String endCause;

        Task(String name, long trip) {
            this.name = name;
            this.trip = trip;
        }

        boolean isOver() {
            return status.equals("ended");
        }
    }

    final Cloud.Machine machine;
    private final World world;
    private final Map<String, String> controllers;
    private final double reportSeconds;
    private final double leaseSeconds;
    private final Server server;
    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(4)).build();
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private final List<String> nodes;
    private int target;
    private long shift = 1;
    private long tally;
    private long baton;
    private double leaseFrom;
    private double lastReport = -1e9;
    private double notBefore;
    private boolean changed = true;
    private volatile boolean over;

    Worker(Cloud.Machine machine, World world, Map<String, String> controllers, double reportSeconds, double leaseSeconds) throws IOException {
        this.machine = machine;
        this.world = world;
        this.controllers = controllers;
        this.reportSeconds = reportSeconds;
        this.leaseSeconds = leaseSeconds;
        nodes = new ArrayList<>(controllers.keySet());
        target = Math.floorMod(machine.name.hashCode(), nodes.size());
        leaseFrom = now();
        server = new Server(this);
        machine.worker = this;
        Server.THREADS.submit(this::reportLoop);
        Server.THREADS.submit(this::taskLoop);
    }

    static double now() {
        return System.nanoTime() / 1e9;
    }

    String address() {
        return server.address;
    }

    /** The controller that this worker reports to. */
    synchronized String reportsTo() {
        return nodes.get(target);
    }

    /** The machine is gone, with all that was on it. */
    void end() {
        over = true;
        server.stop();
        synchronized (this) {
            tasks.clear();
        }
    }

    /** The tasks that are on the machine: they have their image and have not ended. */
    synchronized List<String> running() {
        return tasks.values().stream().filter(task -> task.status.equals("running")).map(task -> task.name).toList();
    }

    /** The CPUs and the memory that no task takes or waits for. */
    synchronized double[] free() {
        double cpus = machine.type.cpus();
        double memory = machine.type.memoryGb();
        for (Task task : tasks.values()) {
            if (task.isOver()) continue;
            cpus -= task.job.get("vcpus").asDouble();
            memory -= task.job.get("memoryGb").asDouble();
        }
        return new double[] {cpus, memory};
    }

    private static void sleep(double seconds) {
        try {
            Thread.sleep(Math.max(1, (long) (seconds * 1000)));
        } catch (InterruptedException end) {
            Thread.currentThread().interrupt();
        }
    }

    private void taskLoop() {
        while (!over) {
            sleep(0.02);
            synchronized (this) {
                expireLease();
                for (Task task : tasks.values()) step(task);
            }
        }
    }

    private void expireLease() {
        if (now() - leaseFrom <= leaseSeconds) return;
        for (Task task : tasks.values()) {
            if (task.status.equals("running")) world.ended(this, task.name, task.trip, "lease", now() - task.startedAt);
        }
        tasks.clear();
        shift++;
        leaseFrom = now();
        changed = true;
    }

    private void step(Task task) {
        if (task.status.equals("pulling") && now() >= task.readyAt) {
            images.add(task.job.get("manifest").asText());
            task.status = "running";
            task.startedAt = now();
            Double failsAfter = world.failsAfter(this, task.name);
            task.endCause = failsAfter == null ? "done" : "error";
            if (failsAfter != null) task.endsAt = now() + failsAfter;
            else if (task.job.get("haul").asText().equals("array")) task.endsAt = now() + task.job.get("etaS").asDouble();
            changed = true;
            world.started(this, task.name, task.trip);
        }
        if (task.status.equals("running") && now() >= task.endsAt) end(task, task.endCause);
    }

    private void end(Task task, String cause) {
        boolean ran = task.status.equals("running");
        task.status = "ended";
        task.cause = cause;
        changed = true;
        if (ran) world.ended(this, task.name, task.trip, cause, now() - task.startedAt);
    }

    private void reportLoop() {
        while (!over) {
            byte[] body = null;
            long sentIn = 0;
            double sentAt = 0;
            String node = null;
            synchronized (this) {
                double due = Math.max(notBefore, lastReport + (changed ? 0.5 : reportSeconds));
                if (now() >= due) {
                    lastReport = now();
                    changed = false;
                    tally++;
                    body = report();
                    sentIn = shift;
                    sentAt = now();
                    node = nodes.get(target);
                    if (body.length > MAX_BODY_BYTES) {
                        world.reportTooLarge(this, body.length, tasks.size());
                        body = null;
                    }
                }
            }
            if (body == null) {
                sleep(0.02);
                continue;
            }
            HttpResponse<byte[]> reply = null;
            try {
                HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + controllers.get(node) + "/checkin"))
                    .timeout(Duration.ofSeconds(4)).POST(HttpRequest.BodyPublishers.ofByteArray(body)).build();
                reply = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
            } catch (IOException failed) {
                // As no response.
            } catch (InterruptedException end) {
                return;
            }
            if (!over) answered(reply, sentIn, sentAt);
        }
    }

    private synchronized void answered(HttpResponse<byte[]> reply, long sentIn, double sentAt) {
        int status = reply == null ? 0 : reply.statusCode();
        JsonNode body = reply == null ? null : Json.read(reply.body());
        if (status == 200) {
            if (sentIn != shift || body == null || !body.hasNonNull("baton") || body.get("baton").asLong() < baton) return;
            leaseFrom = Math.max(leaseFrom, sentAt);
            see(body.get("baton").asLong());
            body.path("dispatches").forEach(this::execute);
        } else if (status == 421 && body != null && controllers.containsKey(body.path("dispatcher").asText())
            && !nodes.get(target).equals(body.get("dispatcher").asText())) {
            target = nodes.indexOf(body.get("dispatcher").asText());
            changed = true;
        } else {
            target = (target + 1) % nodes.size();
            notBefore = now() + 1.0;
            changed = true;
        }
    }

    private void see(long token) {
        if (token > baton) changed = true;
        baton = Math.max(baton, token);
    }

    private byte[] report() {
        ObjectNode body = Json.object().put("truck", machine.name).put("addr", server.address).put("fleet", machine.type.name())
            .put("depot", machine.zone).put("borrowed", machine.spot).put("shift", shift).put("tally", tally).put("baton", baton);
        body.putNull("recallS");
        ArrayNode boxes = body.putArray("boxes");
        for (Task task : tasks.values()) {
            ObjectNode box = boxes.addObject().put("box", task.name).put("trip", task.trip).put("status", task.status);
            if (task.cause != null) box.put("cause", task.cause);
        }
        return Json.write(body);
    }

    @Override
    public synchronized Server.Reply handle(Server.Request request) {
        if (over) return null;
        int status = 200;
        if (request.path().equals("/do")) {
            JsonNode body = Json.read(request.body());
            if (body == null || !body.has("baton") || !body.has("shift")) return Server.Reply.of(400);
            if (body.get("baton").asLong() < baton || body.get("shift").asLong() != shift) {
                status = 409;
            } else {
                see(body.get("baton").asLong());
                body.path("dispatches").forEach(this::execute);
            }
        }
        tally++;
        return new Server.Reply(status, report());
    }

    private void execute(JsonNode command) {
        String name = command.get("box").asText();
        long trip = command.get("trip").asLong();
        String key = name + "#" + trip;
        Task present = tasks.get(key);
        switch (command.get("order").asText()) {
            case "start" -> {
                if (present == null) start(name, trip, key);
            }
            // No job of these cases saves, so a task that is told to stop exits at once.
            case "halt" -> {
                if (present != null && !present.isOver()) end(present, "halted");
            }
            case "reap" -> {
                if (present != null && present.isOver()) {
                    tasks.remove(key);
                    changed = true;
                }
            }
            default -> throw new IllegalStateException(command.toString());
        }
    }

    private void start(String name, long trip, String key) {
        Task task = new Task(name, trip);
        int slash = name.indexOf('/');
        task.job = world.job(name.substring(0, slash));
        boolean busy = tasks.values().stream().anyMatch(other -> other.name.equals(name) && !other.isOver());
        double[] free = free();
        tasks.put(key, task);
        changed = true;
        if (task.job == null || Integer.parseInt(name.substring(slash + 1)) >= task.job.get("boxes").asInt()) {
            end(task, "no_such");
        } else if (busy) {
            end(task, "busy");
        } else if (task.job.get("vcpus").asDouble() > free[0] + 1e-6 || task.job.get("memoryGb").asDouble() > free[1] + 1e-6) {
            end(task, "full");
        } else {
            boolean cached = images.contains(task.job.get("manifest").asText());
            task.readyAt = now() + (cached ? 0 : task.job.get("pullGb").asDouble() / FETCH_GB_PER_SECOND);
        }
    }
}
