import java.io.File;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A small deployment: controllers as processes, started with the command of the deploy file, and stand-ins around them. */
final class Site implements AutoCloseable {
    static final List<String> ZONES = List.of("regina-floor", "saskatoon-rack");
    static final String TYPE = "render-box";
    static final double CPUS = 16.0;
    private static final int FIRST_PORT = 20_000;
    private static final int PORT_RANGE = 12_000;
    private static final int MAX_PORT_TRIES = 1_000;
    final Record record;
    final Sites.Settings settings = new Sites.Settings();
    final StateService state;
    private final Deployment deployment;
    final Cloud cloud;
    /** The submissions by job id: users upload a job's description to where workers find it. */
    final Map<String, Map<String, Object>> jobs = new ConcurrentHashMap<>();
    final int nodes;
    final Link[] toState;
    final Link[][] toPeer;
    private final Path repository;
    private final Path folder;
    private final Process[] processes;
    private final int[] clusterPorts;
    private final List<String> command;

    Site(Deployment deployment, Record record, Worker.World world, Cloud.BootTime bootTime, int machinesPerZone) throws IOException {
        this.deployment = deployment;
        nodes = deployment.nodes;
        state = new StateService(deployment.rps, deployment.writeRps, 4.0, 12);
        settings.reportS = deployment.reportS;
        settings.leaseS = deployment.leaseS;
        settings.cancelS = deployment.cancelS;
        this.record = record;
        repository = Path.of(System.getProperty("repository")).toAbsolutePath();
        folder = Files.createTempDirectory("copperglade-review");
        command = startCommand();
        processes = new Process[nodes];
        // Also where this program is interrupted.
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        settings.members = new String[nodes];
        int[] ports = freePorts(2 * nodes);
        settings.clientPorts = Arrays.copyOf(ports, nodes);
        clusterPorts = Arrays.copyOfRange(ports, nodes, 2 * nodes);
        for (int i = 0; i < nodes; i++) settings.members[i] = "lorry-" + i;
        cloud = new Cloud(TYPE, CPUS, 128.0, ZONES, machinesPerZone, bootTime, record, machine -> {
            machine.worker = new Worker(machine, TYPE, CPUS, settings, world);
            int port = Http.serve("worker", machine.worker);
            machine.worker.start(port);
            record.add("machine " + machine.name + " is up in " + machine.zone);
            return port;
        });
        int statePort = Http.serve("state", state);
        int cloudPort = Http.serve("cloud", cloud);
        toState = new Link[nodes];
        toPeer = new Link[nodes][nodes];
        for (int i = 0; i < nodes; i++) {
            toState[i] = new Link("state", statePort);
            for (int j = 0; j < nodes; j++) if (i != j) toPeer[i][j] = new Link("peer", clusterPorts[j]);
            Files.writeString(folder.resolve("settings-" + i + ".json"), settingsOf(i, cloudPort));
        }
    }

    /** Ports that are free now, below those that the system gives out by itself, so that nobody else is given one of them. */
    private static int[] freePorts(int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        int[] ports = new int[count];
        java.util.Random random = new java.util.Random();
        for (int i = 0, tries = 0; i < count; tries++) {
            try {
                ServerSocket socket = Http.listen(FIRST_PORT + random.nextInt(PORT_RANGE));
                held.add(socket);
                ports[i++] = socket.getLocalPort();
            } catch (IOException e) {
                if (tries > MAX_PORT_TRIES) throw e;
            }
        }
        for (ServerSocket socket : held) socket.close();
        return ports;
    }

    private List<String> startCommand() throws IOException {
        for (String line : Files.readAllLines(repository.resolve("deploy/service.toml"))) {
            if (line.startsWith("run = ")) {
                return new ArrayList<>(Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
            }
        }
        throw new IOException("deploy/service.toml: no run");
    }

    private String settingsOf(int node, int cloudPort) {
        List<Object> known = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            if (i != node) {
                known.add(Json.map("member", settings.members[i], "location", zoneOf(i), "endpoint", "127.0.0.1:" + toPeer[node][i].port));
            }
        }
        List<Object> teams = new ArrayList<>();
        deployment.teams.forEach((name, cpus) ->
            teams.add(Json.map("name", name, "cpus", cpus[0], "cpus_max", cpus[1], "gpus", 0.0, "gpus_max", 0.0)));
        List<Object> objectives = List.of(Json.map("kind", "guarantee", "within_s", deployment.guaranteeWithinS, "share", 0.97));
        return Json.write(Json.map(
            "member", settings.members[node], "location", zoneOf(node),
            "client_listen", "127.0.0.1:" + settings.clientPorts[node], "cluster_listen", "127.0.0.1:" + clusterPorts[node],
            "known", known,
            "outside", Json.map("cloud", "127.0.0.1:" + cloudPort, "state", "127.0.0.1:" + toState[node].port),
            "deployment", Json.map("nodes", (long) nodes, "zones", new ArrayList<Object>(ZONES), "teams", teams,
                "objectives", objectives,
                "workers", Json.map("report_s", settings.reportS, "lease_s", settings.leaseS, "gang_wait_s", 45.0, "gang_peer_s", 8.0,
                    "cancel_s", settings.cancelS),
                "state", Json.map("rps", deployment.rps, "write_rps", deployment.writeRps, "value_kb", 4.0, "txn_ops", 12L),
                "cloud", Json.map("rps", deployment.cloudRps, "list_lag_s", 3.0),
                "resources", Json.map("cores", deployment.cores, "mem_mb", deployment.memMb, "fd_limit", deployment.fdLimit),
                "clock_error_ms", 1000.0)));
    }

    private static String zoneOf(int node) {
        return ZONES.get(node % ZONES.size());
    }

    void startAll() throws IOException {
        for (int i = 0; i < nodes; i++) start(i);
    }

    void start(int node) throws IOException {
        List<String> words = new ArrayList<>(command);
        words.add(folder.resolve("settings-" + node + ".json").toString());
        ProcessBuilder builder = new ProcessBuilder(words).directory(repository.toFile()).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log(node)));
        builder.environment().put("LOG_LEVEL", System.getProperty("log", "info"));
        processes[node] = builder.start();
        record.add("process " + settings.members[node] + " started");
    }

    File log(int node) {
        return folder.resolve("log-" + node).toFile();
    }

    Process process(int node) {
        return processes[node];
    }

    /** Sends a signal to a controller that this site has started. */
    void signal(int node, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, "" + processes[node].pid()).start().waitFor();
        record.add("process " + settings.members[node] + " gets " + name);
    }

    /** Cuts a controller off from the state service and from the other controllers, or ends that. */
    void cutFromStateAndPeers(int node, boolean cut) {
        toState[node].setCut(cut);
        for (int i = 0; i < nodes; i++) {
            if (i == node) continue;
            toPeer[node][i].setCut(cut);
            toPeer[i][node].setCut(cut);
        }
        record.add((cut ? "cut " : "end of the cut of ") + settings.members[node] + " from the state service and the other controllers");
    }

    Http.Reply ask(int node, String method, String path, String body, int timeoutMs) {
        return new Http.Client().call(settings.clientPorts[node], method, path, body, timeoutMs);
    }

    boolean awaitHealthy(long timeoutMs) {
        long until = record.now() + timeoutMs;
        while (record.now() < until) {
            boolean all = true;
            for (int i = 0; i < nodes; i++) {
                Http.Reply reply = ask(i, "GET", "/healthz", "", 1000);
                all &= reply != null && reply.status() == 200;
            }
            if (all) return true;
            Sites.sleep(200);
        }
        return false;
    }

    /** A submission with ordinary values; names and values that follow replace some. */
    static Map<String, Object> job(String id, Object... changes) {
        Map<String, Object> job = Json.map("nameId", id, "load", "proof-portal", "crew", "prepress", "haul", "array", "urgency", "normal",
            "boxes", 1L, "vcpus", 1.0, "gpus", 0.0, "memoryGb", 4.0, "manifest", "img-01", "pullGb", 0.3, "fleets", null, "depot", null,
            "oneZone", false, "spread", false, "borrowed", false, "etaS", 5.0, "waypointS", 0.0, "unloadS", 0.0, "dueS", null);
        job.putAll(Json.map(changes));
        return job;
    }

    /** Submits a job as a user does, with retries for up to 60 s; returns the last status, or 0. */
    int submit(Map<String, Object> job, int firstNode) {
        String id = (String) job.get("nameId");
        jobs.put(id, job);
        long until = record.now() + 60_000;
        int status = 0;
        for (int attempt = 0; record.now() < until; attempt++) {
            int node = (firstNode + attempt) % nodes;
            Http.Reply reply = ask(node, "POST", "/submissions", Json.write(job), 5000);
            status = reply == null ? 0 : reply.status();
            record.add("user submits " + id + " to " + settings.members[node] + ": " + (reply == null ? "no answer" : status + " " + reply.body()));
            if (status == 200 || status == 201 || status == 400 || status == 422) return status;
            Sites.sleep(1000);
        }
        return status;
    }

    private void endProcesses() {
        for (Process process : processes) {
            if (process == null) continue;
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() {
        endProcesses();
        record.add("all processes ended");
        if (System.getProperty("keep") == null) delete(folder.toFile());
        else System.err.println("kept " + folder);
    }

    private static void delete(File file) {
        File[] children = file.listFiles();
        if (children != null) for (File child : children) delete(child);
        file.delete();
    }
}
