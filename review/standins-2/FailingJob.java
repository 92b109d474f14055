import java.util.List;

/** A job of high urgency that was submitted with a mistake waits for its next try: is other work stopped in vain? */
public final class FailingJob {
    private FailingJob() {}

    public static void main(String[] args) {
        Verdict.decide(args, (trouble, recordFile) -> {
            Lab lab = new Lab(new Lab.Site(), recordFile);
            List<Worker> machines =
                    List.of(lab.cloud.addUp("flygel", "uppsala", false), lab.cloud.addUp("flygel", "uppsala", false));
            lab.startControllers();
            lab.awaitWorkers(15);
            // Each job fills one of the two machines, so both can run at the same time from the beginning to the end.
            Job work = new Job("wk-000001", "array", "gravyr-00", 2, 10, 36, 20).with("cards", 1.0);
            Job failing = new Job("wk-000002", "array", "gravyr-01", 1, 21, 77, 1)
                    .with("cards", 2.0)
                    .with("urgency", "high");
            failing.hasMistake = true;
            Verdict.require(lab.submit(work), "not accepted");
            Verdict.require(
                    Timing.await(Record.now() + 8, () -> lab.running(work).size() == work.tasks()),
                    "the job did not start");
            Verdict.require(lab.running(work).values().stream().distinct().count() == 1, "the job runs on two machines");
            double startedS = Record.now();
            if (trouble) {
                Verdict.require(lab.submit(failing), "not accepted");
            }
            if (Timing.await(114, () -> lab.doneCount(work) == work.tasks())) {
                return null;
            }
            Verdict.require(machines.stream().allMatch(Worker::isUp), "a machine was returned");
            return "of 2 tasks of " + work.id + ", which take 20 s, " + lab.doneCount(work) + " are done "
                    + Math.round(Record.now() - startedS) + " s after their first start; they were started "
                    + lab.startOrders(work) + " times, though the other machine had room for the other job, which was"
                    + " started " + lab.startOrders(failing) + " times";
        });
    }
}
