import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A job as its user submits it, and how long each of its tasks really runs. */
final class Job {
    final String id;
    final Map<String, Object> fields = new LinkedHashMap<>();
    final double runS;
    /** Whether every task fails, on every machine, once it has run. */
    boolean hasMistake;

    /** Creates a job without cards, of standard urgency, that may use spot machines and saves no checkpoints. */
    Job(String id, String shape, String team, int tasks, double vcpus, double ramGb, double runS) {
        this.id = id;
        this.runS = runS;
        fields.put("nameId", id);
        fields.put("lane", "korrektur");
        fields.put("crew", team);
        fields.put("shape", shape);
        fields.put("urgency", "standard");
        fields.put("pieces", (long) tasks);
        fields.put("vcpus", vcpus);
        fields.put("cards", 0.0);
        fields.put("ramGb", ramGb);
        fields.put("bundle", "img-01");
        fields.put("imageGb", 0.1);
        fields.put("builds", null);
        fields.put("site", null);
        fields.put("oneZone", false);
        fields.put("apart", false);
        fields.put("loaners", true);
        fields.put("expectedS", shape.equals("daemon") ? 0.0 : runS);
        fields.put("bookmarkS", 0.0);
        fields.put("stashS", 0.0);
        fields.put("dueS", null);
    }

    Job with(String field, Object value) {
        fields.put(field, value);
        return this;
    }

    Job builds(String... names) {
        return with("builds", List.<Object>of((Object[]) names));
    }

    boolean isDaemon() {
        return fields.get("shape").equals("daemon");
    }

    boolean isGang() {
        return fields.get("shape").equals("group");
    }

    double amount(String field) {
        return (Double) fields.get(field);
    }

    int tasks() {
        return ((Long) fields.get("pieces")).intValue();
    }
}
