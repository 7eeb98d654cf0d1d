import java.util.LinkedHashMap;
import java.util.Map;

/** The figures of a deployment, as its users' pages give them. */
final class Deployment {
    int nodes = 3;
    double rps = 200.0;
    double writeRps = 50.0;
    double cloudRps = 6.0;
    double reportS = 2.0;
    double leaseS = 12.0;
    double cancelS = 32.0;
    double cores = 0.425;
    double memMb = 268.0;
    long fdLimit = 1500;
    double guaranteeWithinS = 5.0;

    /** By team, the guaranteed and the most CPUs. */
    final Map<String, double[]> teams = new LinkedHashMap<>();

    private Deployment() {
    }

    /** The small deployment of the first brief. */
    static Deployment small() {
        Deployment small = new Deployment();
        small.team("prepress", 72, 208);
        small.team("pressroom", 48, 250);
        small.team("estimating", 88, 296);
        small.team("customer-care", 56, 152);
        small.team("quality", 72, 176);
        small.team("shipping", 72, 208);
        return small;
    }

    /** The deployment with the larger fleet. */
    static Deployment fleet() {
        Deployment fleet = new Deployment();
        fleet.nodes = 5;
        fleet.rps = 400.0;
        fleet.writeRps = 100.0;
        fleet.cloudRps = 9.0;
        fleet.reportS = 4.0;
        fleet.leaseS = 22.0;
        fleet.cancelS = 42.0;
        fleet.cores = 0.816;
        fleet.memMb = 455.0;
        fleet.fdLimit = 2895;
        fleet.guaranteeWithinS = 10.0;
        fleet.team("prepress", 2500, 7000);
        fleet.team("pressroom", 1800, 5000);
        fleet.team("estimating", 3000, 10000);
        fleet.team("customer-care", 1800, 5000);
        fleet.team("quality", 2500, 6000);
        fleet.team("shipping", 2500, 7000);
        return fleet;
    }

    private void team(String name, double cpus, double cpusMax) {
        teams.put(name, new double[] {cpus, cpusMax});
    }
}
