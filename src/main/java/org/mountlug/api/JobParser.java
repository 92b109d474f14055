package org.mountlug.api;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.mountlug.Constants;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.JobType;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;

/** Users' submissions, checked field by field; the only place that knows their field names. */
public final class JobParser {
    /** What is wrong with a body. */
    public static final class MalformedJobException extends Exception {
        private static final long serialVersionUID = 1;

        /** Names the field or the reason in the message that its user gets. */
        public MalformedJobException(String m) {
            super(m);
        }
    }

    private JobParser() {}

    /** Ids are "wk-" and digits, six at the least in every example. */
    public static boolean isValidId(String id) {
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
    public static JobSpec parse(Map<String, Object> m, long nowMs) throws MalformedJobException {
        String id = text(m, "nameId");
        if (!isValidId(id)) {
            throw new MalformedJobException("nameId");
        }
        JobType shape =
                switch (text(m, "shape")) {
                    case "array" -> JobType.ARRAY;
                    case "group" -> JobType.GANG;
                    case "daemon" -> JobType.SERVICE;
                    default -> throw new MalformedJobException("shape");
                };
        Priority urgency =
                switch (text(m, "urgency")) {
                    case "prod" -> Priority.PROD;
                    case "high" -> Priority.HIGH;
                    case "standard" -> Priority.STANDARD;
                    case "idle" -> Priority.IDLE;
                    default -> throw new MalformedJobException("urgency");
                };
        long pieces = whole(m, "pieces");
        if (pieces < 1 || pieces > Constants.MAX_TASKS_PER_JOB) {
            throw new MalformedJobException("pieces");
        }
        List<String> builds = null;
        Object b = m.get("builds");
        if (b != null) {
            if (!(b instanceof List<?> l)) {
                throw new MalformedJobException("builds");
            }
            builds = new ArrayList<>();
            for (Object o : l) {
                if (!(o instanceof String s) || s.isEmpty() || s.length() > Constants.MAX_NAME_CHARS) {
                    throw new MalformedJobException("builds");
                }
                builds.add(s);
            }
            if (builds.size() > 40) {
                throw new MalformedJobException("builds");
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

    private static String text(Map<String, Object> m, String k) throws MalformedJobException {
        if (m.get(k) instanceof String s && !s.isEmpty() && s.length() <= Constants.MAX_NAME_CHARS) {
            return s;
        }
        throw new MalformedJobException(k);
    }

    private static boolean flag(Map<String, Object> m, String k) throws MalformedJobException {
        if (m.get(k) instanceof Boolean b) {
            return b;
        }
        throw new MalformedJobException(k);
    }

    private static long whole(Map<String, Object> m, String k) throws MalformedJobException {
        if (m.get(k) instanceof Long n) {
            return n;
        }
        throw new MalformedJobException(k);
    }

    private static double amount(Map<String, Object> m, String k) throws MalformedJobException {
        if (m.get(k) instanceof Number n && Double.isFinite(n.doubleValue()) && n.doubleValue() >= 0) {
            return n.doubleValue();
        }
        throw new MalformedJobException(k);
    }

    /** Why the job can never run, or null. */
    public static String unschedulableReason(JobSpec s, Function<String, Team> teams, Collection<MachineType> types) {
        Team t = teams.apply(s.team());
        if (t == null) {
            return "unknown team";
        }
        if (types.stream().noneMatch(s::canEverRunOn)) {
            return "a task fits no allowed machine type";
        }
        // The replicas of a service run at the same time, as a gang's tasks do.
        if (!t.isWithinLimit(s.jobType() == JobType.ARRAY ? s.request() : s.totalRequest())) {
            return "needs more than the team's limit";
        }
        return null;
    }
}
