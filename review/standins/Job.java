import java.util.Map;

/** A job as its user describes it, and what its user has been told. */
final class Job {
    static final Job UNKNOWN = new Job("wk-000000", "array", "none", "none", 1, 0, 0, 0);

    final String id;
    final String shape;
    final String lane;
    final String team;
    final int tasks;
    final double cpus;
    final double gpus;
    final double ramGb;
    String urgency = "standard";
    String zone;
    boolean oneZone;
    /** At most half of the tasks, rounded up, in one zone. */
    boolean apart;
    boolean spotAllowed;
    String image = "img-1";
    double imageGb = 0.5;
    /** How long a task runs. */
    double runS = 10;
    /** Its owner's estimate of that; {@code NaN} if it is right. */
    double estimateS = Double.NaN;
    double saveIntervalS;
    double saveS;

    /** When its user was told that it is accepted; {@code NaN} before. */
    volatile double acceptedS = Double.NaN;
    /** The state that its user was told last. */
    volatile String lastStatus;
    /** When its user was first told that it is done; {@code NaN} before. */
    volatile double doneS = Double.NaN;

    Job(String id, String shape, String lane, String team, int tasks, double cpus, double gpus, double ramGb) {
        this.id = id;
        this.shape = shape;
        this.lane = lane;
        this.team = team;
        this.tasks = tasks;
        this.cpus = cpus;
        this.gpus = gpus;
        this.ramGb = ramGb;
    }

    boolean isGang() {
        return shape.equals("group");
    }

    boolean isService() {
        return shape.equals("daemon");
    }

    Map<String, Object> submission() {
        return World.map(
                "nameId", id, "lane", lane, "crew", team, "shape", shape, "urgency", urgency, "pieces", (long) tasks,
                "vcpus", cpus, "cards", gpus, "ramGb", ramGb, "bundle", image, "imageGb", imageGb, "builds", null,
                "site", zone, "oneZone", oneZone, "apart", apart, "loaners", spotAllowed, "expectedS",
                isService() ? 0.0 : Double.isNaN(estimateS) ? runS : estimateS, "bookmarkS", saveIntervalS, "stashS", saveS, "dueS", null);
    }
}
