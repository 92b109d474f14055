package org.mountlug.api;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.mountlug.Constants;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Shape;
import org.mountlug.core.model.Team;
import org.mountlug.core.model.Urgency;

/** Users' submissions, checked field by field; the only place that knows their field names. */
public final class JobParser {
    /** What is wrong with a body. */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1;

        /** Names the field or the reason in the message that its user gets. */
        public Malformed(String m) {
            super(m);
        }
    }

    private JobParser() {}

    /** Ids are "wk-" and digits, six at the least in every example. */
    public static boolean validId(String id) {
        if (id == null || !id.startsWith("wk-") || id.length() < 9 || id.length() > 24) {
            return false;
        }
        for (int i = 3; i < id.length(); i++) {
            if (id.charAt(i) < '0' || id.charAt(i) > '9') {
                return false;
            }
        }
        return true;
    }

    /** Reads a submission; throws if a field is missing, of the wrong type or out of range. */
    public static JobSpec parse(Map<String, Object> m, long nowMs) throws Malformed {
        String id = text(m, "nameId");
        if (!validId(id)) {
            throw new Malformed("nameId");
        }
        Shape shape =
                switch (text(m, "shape")) {
                    case "array" -> Shape.ARRAY;
                    case "group" -> Shape.GANG;
                    case "daemon" -> Shape.SERVICE;
                    default -> throw new Malformed("shape");
                };
        Urgency urgency =
                switch (text(m, "urgency")) {
                    case "prod" -> Urgency.PROD;
                    case "high" -> Urgency.HIGH;
                    case "standard" -> Urgency.STANDARD;
                    case "idle" -> Urgency.IDLE;
                    default -> throw new Malformed("urgency");
                };
        long pieces = whole(m, "pieces");
        if (pieces < 1 || pieces > Constants.TASKS_MAX) {
            throw new Malformed("pieces");
        }
        List<String> builds = null;
        Object b = m.get("builds");
        if (b != null) {
            if (!(b instanceof List<?> l)) {
                throw new Malformed("builds");
            }
            builds = new ArrayList<>();
            for (Object o : l) {
                if (!(o instanceof String s) || s.isEmpty() || s.length() > Constants.NAME_MAX) {
                    throw new Malformed("builds");
                }
                builds.add(s);
            }
            if (builds.size() > 40) {
                throw new Malformed("builds");
            }
        }
        double cpus = amount(m, "vcpus");
        double expected = amount(m, "expectedS");
        return new JobSpec(
                id,
                text(m, "lane"),
                text(m, "crew"),
                shape,
                urgency,
                (int) pieces,
                new Resources(cpus, amount(m, "cards"), amount(m, "ramGb")),
                builds,
                m.get("site") == null ? null : text(m, "site"),
                flag(m, "oneZone"),
                flag(m, "apart"),
                flag(m, "loaners"),
                text(m, "bundle"),
                amount(m, "imageGb"),
                expected,
                amount(m, "bookmarkS"),
                amount(m, "stashS"),
                m.get("dueS") == null ? Double.NaN : amount(m, "dueS"),
                nowMs);
    }

    private static String text(Map<String, Object> m, String k) throws Malformed {
        if (m.get(k) instanceof String s && !s.isEmpty() && s.length() <= Constants.NAME_MAX) {
            return s;
        }
        throw new Malformed(k);
    }

    private static boolean flag(Map<String, Object> m, String k) throws Malformed {
        if (m.get(k) instanceof Boolean b) {
            return b;
        }
        throw new Malformed(k);
    }

    private static long whole(Map<String, Object> m, String k) throws Malformed {
        if (m.get(k) instanceof Long n) {
            return n;
        }
        throw new Malformed(k);
    }

    private static double amount(Map<String, Object> m, String k) throws Malformed {
        if (m.get(k) instanceof Number n && Double.isFinite(n.doubleValue()) && n.doubleValue() >= 0) {
            return n.doubleValue();
        }
        throw new Malformed(k);
    }

    /** Why the job can never run, or null. */
    public static String hopeless(JobSpec s, Function<String, Team> teams, Collection<MachineType> types) {
        Team t = teams.apply(s.team());
        if (t == null) {
            return "unknown team";
        }
        if (types.stream().noneMatch(s::allows)) {
            return "a task fits no allowed machine type";
        }
        // The replicas of a service run at the same time, as a gang's tasks do.
        if (!t.allows(s.shape() == Shape.ARRAY ? s.need() : s.whole())) {
            return "needs more than the team's limit";
        }
        return null;
    }
}
