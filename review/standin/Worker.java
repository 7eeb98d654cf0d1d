import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.Timer;
import java.util.TimerTask;

/** The worker of one machine, after the protocol: reports, lease, tokens, commands and tasks. */
final class Worker implements Http.Handler {
    /** What the tasks of a job do. */
    interface World {
        /** The job's submission, or null if nobody has submitted it. */
        Map<String, Object> spec(String job);

        /** How long a task runs, in seconds; null: until it is stopped. */
        Double runSeconds(String job);

        /** Whether the task fails at the end of its run. */
        boolean fails(String job);

        void commanded(Worker worker, String order, String task, long attempt, String channel);

        void started(Worker worker, String task, long attempt);

        void ended(Worker worker, String task, long attempt, String cause);
    }

    private static final class Task {
        String id;
        String job;
        long attempt;
        String status = "pulling";
        String cause;
        boolean kept;
        double cpus;
        double unloadS;
        double waypointS;

        boolean onMachine() {
            return status.equals("running") || status.equals("saving");
        }
    }

    private static final Timer TIMER = new Timer("tasks", true);
    final Cloud.Machine machine;
    private final Sites.Settings settings;
    private final double cpus;
    private final String type;
    private final World world;
    private final List<Task> tasks = new ArrayList<>();
    private final Set<String> images = new HashSet<>();
    private final Http.Client client = new Http.Client();
    private long shift = 1;
    private long tally;
    private long baton;
    private long leaseFromNanos = System.nanoTime();
    private boolean alive = true;
    private boolean changed = true;
    private int target;
    private int port;
    private int life;
    private boolean off;
    private boolean cut;
    private long answeredNanos = System.nanoTime();

    Worker(Cloud.Machine machine, String type, double cpus, Sites.Settings settings, World world) {
        this.machine = machine;
        this.type = type;
        this.cpus = cpus;
        this.settings = settings;
        this.world = world;
    }

    void start(int port) {
        this.port = port;
        target = Math.abs(machine.name.hashCode()) % settings.clientPorts.length;
        Http.daemon("worker", this::report);
        Http.daemon("lease", () -> {
            while (alive) {
                expire();
                Sites.sleep(20);
            }
        });
    }

    synchronized void die() {
        alive = false;
        wipe("machine gone");
    }

    /** The index of the controller that this worker reports to. */
    synchronized int target() {
        return target;
    }

    /** The machine loses power and is back after a moment; its worker counts from the start again. */
    void reboot(long offMs) {
        synchronized (this) {
            off = true;
            life++;
            wipe("power");
            images.clear();
            shift = 1;
            tally = 0;
            baton = 0;
        }
        Sites.sleep(offMs);
        synchronized (this) {
            off = false;
            leaseFromNanos = System.nanoTime();
            changed = true;
        }
    }

    /** Cuts the machine off the network, or ends that. What is sent to it meanwhile is held back. */
    synchronized void setCut(boolean cut) {
        this.cut = cut;
        notifyAll();
    }

    /** Milliseconds since the last answer to a report that renewed the lease. */
    synchronized long answeredMsAgo() {
        return (System.nanoTime() - answeredNanos) / 1_000_000;
    }

    /** The CPUs that no task takes or waits for here. */
    synchronized double freeCpus() {
        return cpus - tasks.stream().filter(t -> !t.status.equals("ended")).mapToDouble(t -> t.cpus).sum();
    }

    private synchronized void expire() {
        if (!alive || System.nanoTime() - leaseFromNanos <= settings.leaseS * 1e9) return;
        wipe("lease");
        shift++;
        leaseFromNanos = System.nanoTime();
        changed = true;
    }

    private void wipe(String cause) {
        for (Task task : tasks) if (task.onMachine()) world.ended(this, task.id, task.attempt, cause);
        tasks.clear();
    }

    private void report() {
        long lastNanos = 0;
        while (alive) {
            long sinceMs = (System.nanoTime() - lastNanos) / 1_000_000;
            boolean due;
            synchronized (this) {
                due = !off && !cut && sinceMs >= (changed ? 500 : settings.reportS * 1000);
            }
            if (!due) {
                Sites.sleep(20);
                continue;
            }
            lastNanos = System.nanoTime();
            long sentNanos = lastNanos;
            long sentShift;
            int sentLife;
            String body;
            int to;
            synchronized (this) {
                sentLife = life;
                changed = false;
                sentShift = shift;
                tally++;
                body = body();
                to = target;
            }
            Http.Reply reply = client.call(settings.clientPorts[to], "POST", "/checkin", body, 4000);
            boolean lost;
            synchronized (this) {
                lost = cut || sentLife != life;
            }
            if (!lost && !answered(reply, sentNanos, sentShift)) {
                Sites.sleep(1000);
                lastNanos = 0;
            }
        }
    }

    /** Takes an answer to a report; returns whether the worker may go on at once. */
    private synchronized boolean answered(Http.Reply reply, long sentNanos, long sentShift) {
        if (reply != null && reply.status() == 200) {
            Map<String, Object> body = Json.object(reply.body());
            Long token = (Long) body.get("baton");
            if (sentShift != shift || token == null || token < baton) return true;
            leaseFromNanos = Math.max(leaseFromNanos, sentNanos);
            answeredNanos = System.nanoTime();
            see(token);
            execute(body, "answer");
            return true;
        }
        if (reply != null && reply.status() == 421) {
            Object named = Json.object(reply.body()).get("dispatcher");
            for (int i = 0; i < settings.members.length; i++) {
                if (settings.members[i].equals(named) && i != target) {
                    target = i;
                    changed = true;
                    return true;
                }
            }
        }
        target = (target + 1) % settings.clientPorts.length;
        return false;
    }

    private void see(long token) {
        if (token <= baton) return;
        baton = token;
        changed = true;
    }

    @Override
    public synchronized Http.Reply handle(Http.Request request) throws InterruptedException {
        while (cut) wait();
        if (!alive || off) return null;
        if (request.path().equals("/status")) {
            tally++;
            return new Http.Reply(200, body());
        }
        Map<String, Object> body = Json.object(request.body());
        Long token = (Long) body.get("baton");
        Long wanted = (Long) body.get("shift");
        if (token == null || wanted == null) return new Http.Reply(400, "{}");
        boolean taken = token >= baton && wanted == shift;
        if (taken) {
            see(token);
            execute(body, "direct");
        }
        tally++;
        return new Http.Reply(taken ? 200 : 409, body());
    }

    @SuppressWarnings("unchecked")
    private void execute(Map<String, Object> body, String channel) {
        for (Map<String, Object> order : (List<Map<String, Object>>) body.getOrDefault("dispatches", List.of())) {
            String id = (String) order.get("box");
            long attempt = (Long) order.get("trip");
            Task present = null;
            for (Task task : tasks) if (task.id.equals(id) && task.attempt == attempt) present = task;
            String name = (String) order.get("order");
            world.commanded(this, name, id, attempt, channel);
            changed = true;
            if (name.equals("start") && present == null) {
                begin(id, attempt);
            } else if (name.equals("halt") && present != null) {
                halt(present, ((Number) order.get("leewayS")).doubleValue());
            } else if (name.equals("reap") && present != null && present.status.equals("ended")) {
                tasks.remove(present);
            }
        }
    }

    private void begin(String id, long attempt) {
        Task task = new Task();
        task.id = id;
        task.job = id.substring(0, id.indexOf('/'));
        task.attempt = attempt;
        Map<String, Object> spec = world.spec(task.job);
        boolean busy = tasks.stream().anyMatch(t -> t.id.equals(id) && !t.status.equals("ended"));
        double used = tasks.stream().filter(t -> !t.status.equals("ended")).mapToDouble(t -> t.cpus).sum();
        tasks.add(task);
        if (spec == null) {
            exit(task, "no_such");
            return;
        }
        task.cpus = ((Number) spec.get("vcpus")).doubleValue();
        task.unloadS = ((Number) spec.get("unloadS")).doubleValue();
        task.waypointS = ((Number) spec.get("waypointS")).doubleValue();
        if (busy) {
            exit(task, "busy");
        } else if (used + task.cpus > cpus + 1e-6) {
            exit(task, "full");
        } else if (images.contains(spec.get("manifest"))) {
            run(task);
        } else {
            after(((Number) spec.get("pullGb")).doubleValue() / 0.6, () -> {
                if (!tasks.contains(task) || !task.status.equals("pulling")) return;
                images.add((String) spec.get("manifest"));
                run(task);
            });
        }
    }

    private void run(Task task) {
        task.status = "running";
        changed = true;
        world.started(this, task.id, task.attempt);
        Double seconds = world.runSeconds(task.job);
        if (seconds == null) return;
        after(seconds, () -> {
            if (tasks.contains(task) && task.status.equals("running")) exit(task, world.fails(task.job) ? "error" : "done");
        });
    }

    private void halt(Task task, double leewayS) {
        if (task.status.equals("ended")) return;
        if (task.status.equals("running") && task.waypointS > 0 && leewayS >= task.unloadS) {
            task.status = "saving";
            after(task.unloadS, () -> {
                if (!tasks.contains(task) || !task.status.equals("saving")) return;
                task.kept = true;
                exit(task, "halted");
            });
        } else if (!task.status.equals("saving") || leewayS == 0.0) {
            exit(task, "halted");
        }
    }

    private void exit(Task task, String cause) {
        boolean ran = task.onMachine();
        task.status = "ended";
        task.cause = cause;
        changed = true;
        if (ran) world.ended(this, task.id, task.attempt, cause);
    }

    private void after(double seconds, Runnable action) {
        TIMER.schedule(new TimerTask() {
            @Override
            public void run() {
                synchronized (Worker.this) {
                    if (alive) action.run();
                }
            }
        }, (long) (seconds * 1000));
    }

    private String body() {
        List<Object> boxes = new ArrayList<>();
        for (Task task : tasks) {
            Map<String, Object> box = Json.map("box", task.id, "trip", task.attempt, "status", task.status);
            if (task.cause != null) box.put("cause", task.cause);
            if (task.kept) box.put("kept", true);
            boxes.add(box);
        }
        return Json.write(Json.map("truck", machine.name, "addr", "127.0.0.1:" + port, "fleet", type, "depot", machine.zone, "borrowed",
            machine.spot, "shift", shift, "tally", tally, "baton", baton, "recallS", null, "boxes", boxes));
    }
}
