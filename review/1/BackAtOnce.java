import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A machine loses power and is back within a fraction of a second; its task is started there once more. Right after that the machine loses
 * the network, for longer than its lease. The task may not start on another machine while it is on this one.
 */
public final class BackAtOnce implements Worker.World {
    private static final int MACHINES_PER_ZONE = 6;
    private static final int MACHINES = 2 * MACHINES_PER_ZONE;
    private static final double SERVICE_CPUS = 14.0;
    private static final double TASK_CPUS = 2.0;
    private static final int FIRST_TASK = 100;
    private static final int TASKS = 8;
    private static final long OFF_MS = 300;
    private static final long CUT_MS = 20_000;
    private final Record record;
    private final CountDownLatch filled = new CountDownLatch(MACHINES);
    private final CountDownLatch tasksRun = new CountDownLatch(TASKS);

    /** The machine on which each task is now. */
    private final Map<String, Worker> on = new ConcurrentHashMap<>();
    private Site site;
    private volatile String watched;
    private volatile CountDownLatch startedAgain;
    private volatile boolean broken;

    private BackAtOnce(Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0]))) {
            try {
                status = new BackAtOnce(record).run(trouble);
            } catch (Exception e) {
                record.add("harness: " + e);
            }
            record.add("exit " + status);
        }
        System.exit(status);
    }

    private int run(boolean trouble) throws Exception {
        try (Site site = new Site(Deployment.small(), record, this, number -> 1500, MACHINES_PER_ZONE)) {
            this.site = site;
            site.startAll();
            if (!site.awaitHealthy(20_000)) return 2;
            for (int i = 0; i < MACHINES; i++) {
                site.submit(Site.job(String.format("job-%06d", 1 + i), "haul", "daemon", "urgency", "urgent", "etaS", 0.0, "vcpus",
                    SERVICE_CPUS, "pullGb", 0.06), i % 3);
            }
            if (!filled.await(20, TimeUnit.SECONDS)) return 2;
            for (int i = 0; i < TASKS; i++) {
                String id = String.format("job-%06d", FIRST_TASK + i);
                site.submit(Site.job(id, "crew", "quality", "urgency", "prod", "vcpus", TASK_CPUS, "etaS", 300.0, "manifest", "img-" + id, "pullGb", 0.06), i % 3);
            }
            if (!tasksRun.await(20, TimeUnit.SECONDS)) return 2;
            // Some time of ordinary work, in which the workers report.
            Sites.sleep(20_000);
            Worker machine = choose();
            if (machine == null) return 2;
            return trouble ? disturb(machine) : watch();
        }
    }

    /** A machine with one of the tasks, beside which another machine of the same zone and controller has room for the task. */
    private Worker choose() {
        for (Map.Entry<String, Worker> entry : on.entrySet()) {
            if (number(entry.getKey().substring(4, 10)) < FIRST_TASK) continue;
            for (Cloud.Machine other : site.cloud.running()) {
                Worker worker = entry.getValue();
                boolean beside = other.worker != worker && other.zone.equals(worker.machine.zone)
                    && number(other.name) % site.nodes == number(worker.machine.name) % site.nodes;
                if (!beside || other.worker.freeCpus() < TASK_CPUS) continue;
                watched = entry.getKey();
                record.add(watched + " is on " + worker.machine.name + ", and " + other.name + " has room");
                return worker;
            }
        }
        return null;
    }

    private static int number(String name) {
        return Integer.parseInt(name.replaceAll("[^0-9]", ""));
    }

    private int disturb(Worker machine) throws InterruptedException {
        while (machine.answeredMsAgo() < 1750 || machine.answeredMsAgo() > 1900) Sites.sleep(5);
        startedAgain = new CountDownLatch(1);
        record.add(machine.machine.name + " loses power, " + machine.answeredMsAgo() + " ms after its last answered report");
        machine.reboot(OFF_MS);
        record.add(machine.machine.name + " is back");
        boolean again = startedAgain.await(3, TimeUnit.SECONDS);
        machine.setCut(true);
        record.add(machine.machine.name + " loses the network; the task was started again: " + again + " on "
            + (on.get(watched) == null ? "none" : on.get(watched).machine.name));
        if (on.get(watched) != machine) return 2;
        Sites.sleep(CUT_MS);
        machine.setCut(false);
        record.add(machine.machine.name + " has the network again");
        Sites.sleep(2000);
        return broken ? 1 : 0;
    }

    private int watch() {
        Sites.sleep(CUT_MS);
        return broken ? 1 : 0;
    }

    @Override
    public Map<String, Object> spec(String job) {
        return site.jobs.get(job);
    }

    @Override
    public Double runSeconds(String job) {
        return site.jobs.get(job).get("haul").equals("daemon") ? null : 300.0;
    }

    @Override
    public boolean fails(String job) {
        return false;
    }

    @Override
    public void commanded(Worker worker, String order, String task, long attempt, String channel) {
        record.add(worker.machine.name + " is told to " + order + " " + task + " attempt " + attempt + " (" + channel + ")");
    }

    @Override
    public void started(Worker worker, String task, long attempt) {
        record.add(worker.machine.name + " runs " + task + " attempt " + attempt);
        Worker before = on.put(task, worker);
        if (before != null && before != worker) {
            broken = true;
            record.add("BROKEN " + task + " starts on " + worker.machine.name + " while it is on " + before.machine.name);
        }
        if (number(task.substring(4, 10)) < FIRST_TASK) filled.countDown();
        else tasksRun.countDown();
        CountDownLatch again = startedAgain;
        if (again != null && task.equals(watched)) again.countDown();
    }

    @Override
    public void ended(Worker worker, String task, long attempt, String cause) {
        record.add(worker.machine.name + " ends " + task + " attempt " + attempt + " " + cause);
        on.remove(task, worker);
    }
}
