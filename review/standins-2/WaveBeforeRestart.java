import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Spot machines are taken in a wave, then all controllers end and come back: do the lost tasks run again? */
public final class WaveBeforeRestart {
    private WaveBeforeRestart() {}

    public static void main(String[] args) {
        Verdict.decide(args, (trouble, recordFile) -> {
            Lab lab = new Lab(new Lab.Site(), recordFile);
            for (int i = 0; i < 11; i++) {
                lab.cloud.addUp("spinett", "uppsala", true);
            }
            lab.startControllers();
            // One task a machine keeps five machines in use for the whole run, with room for one task of the array.
            Job keeper = new Job("wk-000001", "array", "gravyr-00", 5, 1, 20, 600);
            Job filler = new Job("wk-000002", "array", "gravyr-01", 5, 3, 1, 3);
            Job array = new Job("wk-000003", "array", "gravyr-02", 6, 3, 1, 40);
            lab.awaitWorkers(15);
            for (Job job : List.of(keeper, filler, array)) {
                Verdict.require(lab.submit(job), "not accepted");
                Verdict.require(
                        Timing.await(Record.now() + 8, () -> lab.running(job).size() == job.tasks()),
                        "tasks of " + job.id + " did not start");
            }
            List<Worker> taken = new ArrayList<>(lab.running(array).values());
            Verdict.require(
                    taken.stream().distinct().count() == 6
                            && taken.stream().noneMatch(lab.running(keeper).values()::contains),
                    "the array runs elsewhere than planned");
            Verdict.require(Timing.await(Record.now() + 10, () -> lab.doneCount(filler) == 5), "the filler did not end");
            Timing.sleep(1);
            if (trouble) {
                taken.forEach(lab.cloud::take);
                Timing.sleep(5);
                lab.controllers.forEach(lab::kill);
                Timing.sleep(5);
                lab.startControllers();
            }
            double overS = Record.now();
            lab.record.add("the troubles are over");
            Verdict.require(
                    Timing.await(overS + 10, () -> lab.answeringSince(overS) != null), "no leader after the restart");
            // Judged: a task of the array waits for 90 s while a machine that fits has room for it.
            double roomSinceS = Double.NaN;
            double endS = Math.min(114, overS + 100);
            while (Record.now() < endS) {
                Map<String, Worker> running = lab.running(array);
                boolean waiting = lab.doneCount(array) + running.size() < array.tasks();
                boolean room = lab.cloud.workers().stream()
                        .map(Worker::room)
                        .anyMatch(left -> left[0] >= 3 && left[1] >= 1);
                roomSinceS = waiting && room ? (Double.isNaN(roomSinceS) ? Record.now() : roomSinceS) : Double.NaN;
                if (!Double.isNaN(roomSinceS) && Record.now() - Math.max(roomSinceS, overS) > 90) {
                    return lab.doneCount(array) + " of 6 tasks of " + array.id + " are done, " + running.size()
                            + " run, and its user is told " + lab.lastStatus(array)
                            + "; for 90 s machines that fit had room";
                }
                if (lab.doneCount(array) == array.tasks()) {
                    return null;
                }
                Timing.sleep(0.1);
            }
            return null;
        });
    }
}
