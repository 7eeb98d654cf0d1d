import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Two of fifty jobs were submitted with a mistake and fail on every machine. Both machines are sound, and have room. */
final class MistakenJobs implements Site.Case {
    private static final int SOUND = 48;
    private static final double WAIT_SECONDS = 90;
    private Site site;
    private final Set<String> mistaken = ConcurrentHashMap.newKeySet();
    private final Set<String> failedOn = ConcurrentHashMap.newKeySet();
    private final Set<String> started = ConcurrentHashMap.newKeySet();
    private final AtomicInteger done = new AtomicInteger();

    public static void main(String[] arguments) {
        Site.main(Path.of(arguments[0]), new MistakenJobs());
    }

    @Override
    public List<Cloud.Type> types() {
        return List.of(new Cloud.Type("render-box", 16, 128, 1.06, 0.43, 2, Map.of("regina-floor/false", 1, "saskatoon-rack/false", 1)));
    }

    @Override
    public JsonNode job(String job) {
        return site == null ? null : site.jobs.get(job);
    }

    private static String jobOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    @Override
    public Double failsAfter(Worker worker, String task) {
        return mistaken.contains(jobOf(task)) ? 1.0 : null;
    }

    @Override
    public void started(Worker worker, String task, long trip) {
        started.add(jobOf(task));
        site.note("started " + task + " trip=" + trip + " on " + worker.machine.name);
    }

    @Override
    public void ended(Worker worker, String task, long trip, String how, double ranSeconds) {
        site.note("ended " + task + " trip=" + trip + " on " + worker.machine.name + " " + how);
        if (how.equals("done")) done.incrementAndGet();
        if (how.equals("error")) failedOn.add(jobOf(task) + " " + worker.machine.name);
    }

    private com.fasterxml.jackson.databind.node.ObjectNode check(int number) {
        var job = Site.job(number, "colour-check", "pressroom", "array", "normal", 1, 2, 10, 1);
        job.put("pullGb", 0.3);
        return job;
    }

    @Override
    public boolean run(Site site) throws Exception {
        this.site = site;
        for (int zone = 0; zone < 2; zone++) {
            var portal = Site.job(1 + zone, "proof-portal", "customer-care", "daemon", "urgent", 1, 1, 6.3, 0);
            portal.put("depot", Site.ZONES.get(zone)).put("pullGb", 0.3);
            site.submit(portal);
        }
        for (int number = 0; number < SOUND - 1; number++) site.submit(check(10 + number));
        while (done.get() < SOUND - 1) {
            if (Site.elapsed() > 40) throw new IllegalStateException("the sound jobs were not done");
            Thread.sleep(100);
        }
        for (int number = 0; number < 2; number++) {
            var job = check(100 + number);
            if (site.trouble) mistaken.add(job.get("nameId").asText());
            site.submit(job);
        }
        double mistakenAt = Site.elapsed();
        while (site.trouble && failedOn.size() < 4 && Site.elapsed() < mistakenAt + 12) Thread.sleep(100);
        Thread.sleep(1000);
        String probe = site.submit(check(200));
        double submittedAt = Site.elapsed();
        if (submittedAt > 24) throw new IllegalStateException("too late to wait for " + WAIT_SECONDS + " s within 120 s");
        while (!started.contains(probe) && Site.elapsed() < submittedAt + WAIT_SECONDS + 1) {
            Thread.sleep(3000);
            for (Cloud.Machine machine : site.cloud.up()) {
                double[] free = machine.worker.free();
                site.note("free on " + machine.name + ": " + free[0] + " CPUs, " + free[1] + " GB");
            }
            site.poll(probe);
        }
        if (started.contains(probe)) return true;
        site.note(probe + " was left waiting for " + (Site.elapsed() - submittedAt) + " s while both machines had room for it; failed were " + failedOn);
        return false;
    }
}
