import java.util.List;

/** The leader ends soon after it returned idle machines: is anything ever rented again? */
public final class ReturnBeforeHandover {
    private ReturnBeforeHandover() {}

    public static void main(String[] args) {
        Verdict.decide(args, (trouble, recordFile) -> {
            Lab lab = new Lab(new Lab.Site(), recordFile);
            lab.cloud.setBootS("orgel", 12);
            for (int i = 0; i < 8; i++) {
                lab.cloud.addUp("spinett", "uppsala", false);
            }
            lab.startControllers();
            lab.awaitWorkers(15);
            List<Worker> idle = lab.cloud.workers();
            Verdict.require(
                    Timing.await(40, () -> idle.stream().filter(Worker::isUp).count() <= 2), "nothing was returned");
            double returnedS = Record.now();
            Timing.sleep(3);
            if (trouble) {
                Lab.Controller first = lab.answeringSince(0);
                lab.kill(first);
                double killedS = Record.now();
                Verdict.require(
                        Timing.await(killedS + 8, () -> lab.answeringSince(killedS + 0.1) != null), "no second leader");
                Timing.sleep(killedS + 5 - Record.now());
                lab.start(first);
                lab.record.add("the trouble is over");
            }
            Timing.sleep(returnedS + 16.5 - Record.now());
            // Fits on no spinett, so a machine has to be rented; the cloud has every machine that is asked for.
            Job job = new Job("wk-000001", "array", "gravyr-00", 2, 8, 16, 15);
            Verdict.require(lab.submit(job), "not accepted");
            double acceptedS = Record.now();
            double watchS = Double.parseDouble(System.getenv().getOrDefault("WATCH_S", "0"));
            double endS = watchS > 0 ? acceptedS + watchS : 114;
            if (Timing.await(endS, () -> !lab.running(job).isEmpty() || lab.doneCount(job) > 0)) {
                return null;
            }
            return "no task was started in the " + Math.round(Record.now() - acceptedS) + " s since " + job.id
                    + " was accepted, and " + lab.cloud.rentals + " rentals were requested";
        });
    }
}
