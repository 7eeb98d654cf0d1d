import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The deployment starts with no machine up, as on the users' days. Jobs of one class come four times as often, and most new machines come
 * up late, so that many jobs wait for more than a few seconds. No controller may end by itself.
 */
public final class WaitingJobs implements Worker.World {
    private static final String[] TEAMS = {"prepress", "pressroom", "estimating", "customer-care", "quality", "shipping"};

    // The figures of the users' page: services and arrays at the start, and how many come in a second.
    private static final int INITIAL_SERVICES = 772;
    private static final int INITIAL_ARRAYS = 59;
    private static final double SERVICES_PER_S = 4.33;
    private static final double ARRAYS_PER_S = 1.94;
    private static final double BURST_FACTOR = 4.0;
    private static final double BURST_S = 60.0;
    private static final int MACHINES_PER_ZONE = 240;

    /** A few machines are up within a second or two. */
    private static final int EARLY_MACHINES = 8;
    private static final long EARLY_BOOT_MS = 1_500;

    /** 1.5 times the boot time of 35 s is usual; the trouble makes it 1.5 times as long again. */
    private static final long LATE_BOOT_MS = 78_000;
    private static final double PHASE_S = 80.0;
    private final Record record;
    private final boolean trouble;
    private final Random random = new Random(11);
    private final ExecutorService users = Executors.newFixedThreadPool(60);
    private Site site;
    private int jobs;

    private WaitingJobs(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0]))) {
            try {
                status = new WaitingJobs(record, trouble).run();
            } catch (Exception e) {
                record.add("harness: " + e);
            }
            record.add("exit " + status);
        }
        System.exit(status);
    }

    private int run() throws Exception {
        Cloud.BootTime bootTime = number -> !trouble || number <= EARLY_MACHINES ? EARLY_BOOT_MS : LATE_BOOT_MS;
        try (Site site = new Site(Deployment.fleet(), record, this, bootTime, MACHINES_PER_ZONE)) {
            this.site = site;
            site.startAll();
            if (!site.awaitHealthy(20_000)) return 2;
            return load();
        } finally {
            users.shutdownNow();
        }
    }

    /** Submits jobs as time goes on, until a controller has ended or the time is over. */
    private int load() throws IOException {
        for (int i = 0; i < INITIAL_SERVICES; i++) submit(service());
        for (int i = 0; i < INITIAL_ARRAYS; i++) submit(array());
        long start = record.now();
        double services = 0;
        double arrays = 0;
        double before = 0;
        while (true) {
            double s = (record.now() - start) / 1000.0;
            if (s >= PHASE_S) return 0;
            services += (s - before) * SERVICES_PER_S * (trouble && s < BURST_S ? BURST_FACTOR : 1.0);
            arrays += (s - before) * ARRAYS_PER_S;
            before = s;
            for (; services >= 1; services--) submit(service());
            for (; arrays >= 1; arrays--) submit(array());
            for (int i = 0; i < site.nodes; i++) if (ended(i)) return 1;
            Sites.sleep(20);
        }
    }

    private boolean ended(int node) throws IOException {
        Process process = site.process(node);
        if (process.isAlive()) return false;
        record.add("BROKEN " + site.settings.members[node] + " has ended by itself, with status " + process.exitValue());
        List<String> lines = Files.readAllLines(site.log(node).toPath());
        for (String line : lines.subList(Math.max(0, lines.size() - 40), lines.size())) record.add("its log: " + line);
        return true;
    }

    private void submit(Map<String, Object> job) {
        int node = jobs % site.nodes;
        users.execute(() -> site.submit(job, node));
    }

    private String nextId() {
        return String.format("job-%06d", ++jobs);
    }

    private Map<String, Object> service() {
        return Site.job(nextId(), "haul", "daemon", "urgency", "urgent", "etaS", 0.0, "memoryGb", 6.3, "crew",
            TEAMS[random.nextInt(TEAMS.length)], "manifest", "img-" + random.nextInt(16), "pullGb", 1.8);
    }

    private Map<String, Object> array() {
        if (random.nextInt(5) < 2) {
            return Site.job(nextId(), "load", "plate-render", "crew", "pressroom", "boxes", 5L + random.nextInt(50), "vcpus", 4.0,
                "memoryGb", 23.0, "borrowed", true, "etaS", 20.0, "dueS", 60.0 + random.nextInt(60));
        }
        return Site.job(nextId(), "load", "colour-check", "crew", TEAMS[random.nextInt(3)], "boxes", 20L + random.nextInt(250), "vcpus",
            2.0, "memoryGb", 10.0, "borrowed", true, "etaS", 12.0, "dueS", 40.0 + random.nextInt(60));
    }

    @Override
    public Map<String, Object> spec(String job) {
        return site.jobs.get(job);
    }

    @Override
    public Double runSeconds(String job) {
        Map<String, Object> spec = site.jobs.get(job);
        return spec.get("haul").equals("daemon") ? null : ((Number) spec.get("etaS")).doubleValue();
    }

    @Override
    public boolean fails(String job) {
        return false;
    }

    @Override
    public void commanded(Worker worker, String order, String task, long attempt, String channel) {
        // What runs is recorded where it starts and ends.
    }

    @Override
    public void started(Worker worker, String task, long attempt) {
        record.add(worker.machine.name + " runs " + task);
    }

    @Override
    public void ended(Worker worker, String task, long attempt, String cause) {
        record.add(worker.machine.name + " ends " + task + " " + cause);
    }
}
