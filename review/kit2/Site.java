import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/** Three controllers as processes, with the command of the deploy file, and the stand-ins around them. */
final class Site implements AutoCloseable {
    static final List<String> ZONES = List.of("regina-floor", "saskatoon-rack");
    static final double REPORT_SECONDS = 2.0;
    static final double LEASE_SECONDS = 12.0;
    static final double CANCEL_SECONDS = 32.0;
    private static final int CONTROLLERS = 3;
    private static final long BEGAN = System.nanoTime();

    /** What a case is about: its platform and its checks. The cases' own world sees what runs. */
    interface Case extends Worker.World {
        List<Cloud.Type> types();

        /** Runs the case; returns whether the rule held. Throws where the case could not run. */
        boolean run(Site site) throws Exception;
    }

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Map<String, JsonNode> jobs = new ConcurrentHashMap<>();
    Cloud cloud;
    StateService state;
    private final Path folder;
    private final BufferedWriter record;
    private final Path temporary;
    private final List<Process> processes = new ArrayList<>();
    private final Map<String, String> controllers = new LinkedHashMap<>();
    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(2)).build();
    private int nextController;

    private Site(Path folder) throws IOException {
        this.folder = folder;
        record = Files.newBufferedWriter(folder.resolve("record.txt"));
        temporary = Files.createTempDirectory("review");
    }

    /** Runs [theCase] and exits: 0 where its rule held, 1 where it was broken, 2 where it could not run. */
    static void main(Path folder, Case theCase) {
        int status = 2;
        try (Site site = new Site(folder)) {
            Runtime.getRuntime().addShutdownHook(new Thread(site::killAll));
            site.note("trouble " + (site.trouble ? "on" : "off"));
            site.start(theCase);
            status = theCase.run(site) ? 0 : 1;
            site.note(status == 0 ? "the rule held" : "the rule was broken");
        } catch (Throwable fault) {
            fault.printStackTrace();
        }
        System.exit(status);
    }

    static double elapsed() {
        return (System.nanoTime() - BEGAN) / 1e9;
    }

    /** Writes a line to record.txt. */
    synchronized void note(String line) {
        try {
            record.write(String.format(java.util.Locale.ROOT, "%8.3f %s%n", elapsed(), line));
            record.flush();
        } catch (IOException closed) {
            // The case is over.
        }
    }

    void until(double second) throws InterruptedException {
        long millis = (long) ((second - elapsed()) * 1000);
        if (millis > 0) Thread.sleep(millis);
    }

    private void start(Case theCase) throws Exception {
        state = new StateService(200.0, 50.0, 4.0, 12);
        Server stateServer = new Server(state);
        List<Integer> ports = freePorts(2 * CONTROLLERS);
        for (int node = 0; node < CONTROLLERS; node++) controllers.put("lorry-" + node, "127.0.0.1:" + ports.get(2 * node));
        cloud = new Cloud(theCase.types(), ZONES, 6.0, 3.0, machine -> boot(machine, theCase));
        Server cloudServer = new Server(cloud);
        List<String> command = command();
        for (int node = 0; node < CONTROLLERS; node++) {
            Path settings = temporary.resolve("lorry-" + node + ".json");
            Files.write(settings, Json.write(settings(node, ports, stateServer.address, cloudServer.address)));
            List<String> whole = new ArrayList<>(command);
            whole.add(settings.toString());
            ProcessBuilder builder = new ProcessBuilder(whole);
            builder.environment().put("LOG_LEVEL", "info");
            Path log = Path.of("target/review-2/logs", folder.getFileName() + "-lorry-" + node + ".log");
            Files.createDirectories(log.getParent());
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            processes.add(builder.start());
        }
        for (String address : controllers.values()) {
            while (call("GET", address, "/healthz", null, 1.0).status() != 200) {
                if (elapsed() > 30) throw new IllegalStateException("the controllers did not start");
                Thread.sleep(100);
            }
        }
        note("controllers are healthy");
    }

    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
            if (line.startsWith("run")) return Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
        }
        throw new IllegalStateException("no run command in the deploy file");
    }

    private void boot(Cloud.Machine machine, Case theCase) {
        try {
            new Worker(machine, theCase, controllers, REPORT_SECONDS, LEASE_SECONDS);
            note("up " + machine.name + " in " + machine.zone);
        } catch (IOException fault) {
            fault.printStackTrace();
        }
    }

    /** Free ports below the range from which the system takes ports for connections, so that none is taken before its controller listens. */
    private static List<Integer> freePorts(int count) throws IOException {
        Random random = new Random();
        List<Integer> ports = new ArrayList<>();
        for (int attempt = 0; attempt < 1000 && ports.size() < count; attempt++) {
            int port = 20_000 + random.nextInt(12_000);
            if (ports.contains(port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                ports.add(socket.getLocalPort());
            } catch (IOException taken) {
                // Another process listens there.
            }
        }
        if (ports.size() < count) throw new IOException("no free ports");
        return ports;
    }

    private static ObjectNode settings(int node, List<Integer> ports, String state, String cloud) {
        ObjectNode settings = Json.object().put("member", "lorry-" + node).put("location", ZONES.get(node % 2))
            .put("client_listen", "127.0.0.1:" + ports.get(2 * node)).put("cluster_listen", "127.0.0.1:" + ports.get(2 * node + 1));
        ArrayNode known = settings.putArray("known");
        for (int other = 0; other < CONTROLLERS; other++) {
            if (other == node) continue;
            known.addObject().put("member", "lorry-" + other).put("location", ZONES.get(other % 2))
                .put("endpoint", "127.0.0.1:" + ports.get(2 * other + 1));
        }
        settings.putObject("outside").put("cloud", cloud).put("state", state);
        ObjectNode deployment = settings.putObject("deployment").put("nodes", CONTROLLERS).put("clock_error_ms", 1000.0);
        ArrayNode zones = deployment.putArray("zones");
        ZONES.forEach(zones::add);
        ArrayNode teams = deployment.putArray("teams");
        team(teams, "prepress", 72, 208);
        team(teams, "pressroom", 48, 250);
        team(teams, "estimating", 88, 296);
        team(teams, "customer-care", 56, 152);
        team(teams, "quality", 72, 176);
        team(teams, "shipping", 72, 208);
        team(teams, "parent-analytics", 0, 0);
        ArrayNode objectives = deployment.putArray("objectives");
        objectives.addObject().put("kind", "wait").put("class", "proof-portal").put("within_s", 3.0).put("share", 0.92);
        objectives.addObject().put("kind", "deadline").put("class", "plate-render").put("share", 0.93).put("times", 1.0);
        objectives.addObject().put("kind", "deadline").put("class", "plate-render").put("share", 0.93).put("times", 1.5);
        objectives.addObject().put("kind", "deadline").put("class", "colour-check").put("share", 0.95).put("times", 1.0);
        objectives.addObject().put("kind", "guarantee").put("within_s", 5.0).put("share", 0.97);
        deployment.putObject("workers").put("report_s", REPORT_SECONDS).put("lease_s", LEASE_SECONDS).put("gang_wait_s", 45.0)
            .put("gang_peer_s", 8.0).put("cancel_s", CANCEL_SECONDS);
        deployment.putObject("state").put("rps", 200.0).put("write_rps", 50.0).put("value_kb", 4.0).put("txn_ops", 12);
        deployment.putObject("cloud").put("rps", 6.0).put("list_lag_s", 3.0);
        deployment.putObject("resources").put("cores", 0.425).put("mem_mb", 268.0).put("fd_limit", 1500);
        return settings;
    }

    private static void team(ArrayNode teams, String name, double guarantee, double limit) {
        teams.addObject().put("name", name).put("cpus", guarantee).put("cpus_max", limit).put("gpus", 0.0).put("gpus_max", 0.0);
    }

    /** A submission as of the protocol page; the caller changes what differs. */
    static ObjectNode job(int number, String load, String team, String haul, String urgency, int tasks, double cpus, double memoryGb, double runSeconds) {
        ObjectNode job = Json.object().put("nameId", String.format("job-%06d", number)).put("load", load).put("crew", team).put("haul", haul)
            .put("urgency", urgency).put("boxes", tasks).put("vcpus", cpus).put("gpus", 0.0).put("memoryGb", memoryGb)
            .put("manifest", "img-" + load).put("pullGb", 1.2);
        job.putNull("fleets");
        job.putNull("depot");
        job.put("oneZone", false).put("spread", false).put("borrowed", false).put("etaS", runSeconds).put("waypointS", 0.0).put("unloadS", 0.0);
        job.putNull("dueS");
        return job;
    }

    record Answer(int status, JsonNode body) {}

    private Answer call(String method, String address, String path, byte[] body, double seconds) throws InterruptedException {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(Duration.ofMillis((long) (seconds * 1000)))
                .method(method, body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofByteArray(body)).build();
            HttpResponse<byte[]> reply = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
            return new Answer(reply.statusCode(), Json.read(reply.body()));
        } catch (IOException noResponse) {
            return new Answer(0, null);
        }
    }

    private String someController() {
        return new ArrayList<>(controllers.values()).get(nextController++ % CONTROLLERS);
    }

    /** Submits [job] as a user does, until it is accepted. */
    String submit(ObjectNode job) throws InterruptedException {
        String id = job.get("nameId").asText();
        jobs.put(id, job);
        for (int attempt = 0; attempt < 30; attempt++) {
            Answer answer = call("POST", someController(), "/submissions", Json.write(job), 5.0);
            note("submit " + id + " load=" + job.get("load").asText() + " tasks=" + job.get("boxes") + " -> " + answer.status());
            if (answer.status() == 200 || answer.status() == 201) return id;
            if (answer.status() == 400 || answer.status() == 422) throw new IllegalStateException(id + " was refused: " + answer.body());
            Thread.sleep(1000);
        }
        throw new IllegalStateException(id + " was not accepted");
    }

    /** Asks for the state of [id]; null where there was no answer. */
    String poll(String id) throws InterruptedException {
        Answer answer = call("GET", someController(), "/submissions/" + id, null, 2.0);
        note("poll " + id + " -> " + answer.status() + " " + answer.body());
        return answer.status() == 200 ? answer.body().get("status").asText() : null;
    }

    /** Cancels [id] at the controller [node]; returns the state that it answers, or null where there was no answer. */
    String cancel(String id, String node) throws InterruptedException {
        Answer answer = call("POST", controllers.get(node), "/submissions/" + id + "/cancel", new byte[0], 5.0);
        note("cancel " + id + " at " + node + " -> " + answer.status() + " " + answer.body());
        return answer.status() == 200 ? answer.body().get("status").asText() : null;
    }

    private void killAll() {
        processes.forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws Exception {
        for (Process process : processes) {
            if (!process.isAlive()) note("a controller ended by itself with " + process.exitValue());
        }
        killAll();
        for (Process process : processes) process.waitFor();
        record.close();
        try (var files = Files.list(temporary)) {
            for (Path file : files.toList()) Files.delete(file);
        }
        Files.delete(temporary);
    }
}
