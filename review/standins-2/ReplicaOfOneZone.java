import java.util.List;
import java.util.Map;

/** A service that must stay in one zone loses a spot machine: does the lost replica run again? */
public final class ReplicaOfOneZone {
    private ReplicaOfOneZone() {}

    public static void main(String[] args) {
        Verdict.decide(args, (trouble, recordFile) -> {
            Lab lab = new Lab(Lab.Site.kopjes(), recordFile);
            lab.cloud.setBootS("meerkat", 30);
            lab.cloud.addUp("meerkat", "joburg", true);
            lab.cloud.addUp("meerkat", "joburg", true);
            for (int i = 0; i < 4; i++) {
                lab.cloud.addUp("meerkat", "capetown", true);
            }
            lab.startControllers();
            lab.awaitWorkers(15);
            Job service = new Job("wk-000001", "daemon", "warband", 2, 3, 12.8, 0)
                    .with("urgency", "prod")
                    .with("oneZone", true);
            Verdict.require(lab.submit(service), "not accepted");
            Verdict.require(Timing.await(15, () -> lab.running(service).size() == 2), "the service did not start");
            Verdict.require(
                    lab.running(service).values().stream().allMatch(worker -> worker.site.equals("joburg")),
                    "the service runs elsewhere than planned");
            // Keeps four machines in another zone in use for the whole run, each with room for one replica.
            Job keeper = new Job("wk-000002", "array", "siege", 4, 1, 18, 600).with("site", "capetown");
            Verdict.require(lab.submit(keeper), "not accepted");
            Verdict.require(
                    Timing.await(Record.now() + 10, () -> lab.running(keeper).values().stream().distinct().count() == 4),
                    "the array did not start");
            if (trouble) {
                lab.cloud.take(lab.running(service).get(service.id + "/1"));
            }
            double takenS = Record.now();
            Timing.await(114, () -> Record.now() > takenS + 5 && lab.running(service).size() == 2 && trouble);
            Map<String, Worker> running = lab.running(service);
            return running.size() == 2
                    ? null
                    : running.size() + " of 2 replicas run " + Math.round(Record.now() - takenS)
                            + " s after the machine of one was taken";
        });
    }
}
