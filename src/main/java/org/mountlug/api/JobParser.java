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

/**
 * Checks users' submissions field by field and converts them to jobs. No other class knows the field names, except that
 * {@link SubmissionValidator} reads {@code nameId}.
 */
public final class JobParser {
    /** Thrown if a field of a submission is missing, of the wrong type or out of range. */
    public static final class MalformedJobException extends Exception {
        private static final long serialVersionUID = 1;

        /** Creates the exception; its message, which is sent to the user, is the name of the invalid field. */
        public MalformedJobException(String fieldName) {
            super(fieldName);
        }
    }

    private JobParser() {}

    /**
     * Whether a job id is valid: {@code wk-} and 6 to 21 digits. All examples in the protocol have at least six digits.
     *
     * @param id may be null, which is not valid
     */
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

    /**
     * Returns the job that a submission describes; unknown fields are ignored.
     *
     * @param nowMs epoch milliseconds, recorded as the time of submission
     * @throws MalformedJobException if a field is missing, of the wrong type or out of range
     */
    public static JobSpec parse(Map<String, Object> fields, long nowMs) throws MalformedJobException {
        String id = requireString(fields, "nameId");
        if (!isValidId(id)) {
            throw new MalformedJobException("nameId");
        }
        JobType jobType =
                switch (requireString(fields, "shape")) {
                    case "array" -> JobType.ARRAY;
                    case "group" -> JobType.GANG;
                    case "daemon" -> JobType.SERVICE;
                    default -> throw new MalformedJobException("shape");
                };
        Priority priority =
                switch (requireString(fields, "urgency")) {
                    case "prod" -> Priority.PROD;
                    case "high" -> Priority.HIGH;
                    case "standard" -> Priority.STANDARD;
                    case "idle" -> Priority.IDLE;
                    default -> throw new MalformedJobException("urgency");
                };
        long tasks = requireInteger(fields, "pieces");
        if (tasks < 1 || tasks > Constants.MAX_TASKS_PER_JOB) {
            throw new MalformedJobException("pieces");
        }
        List<String> machineTypes = null;
        Object buildsValue = fields.get("builds");
        if (buildsValue != null) {
            if (!(buildsValue instanceof List<?> buildsList)) {
                throw new MalformedJobException("builds");
            }
            machineTypes = new ArrayList<>();
            for (Object element : buildsList) {
                if (!(element instanceof String machineType)
                        || machineType.isEmpty()
                        || machineType.length() > Constants.MAX_NAME_CHARS) {
                    throw new MalformedJobException("builds");
                }
                machineTypes.add(machineType);
            }
            if (machineTypes.size() > 40) {
                throw new MalformedJobException("builds");
            }
        }
        double cpus = requireNonNegative(fields, "vcpus");
        double expectedS = requireNonNegative(fields, "expectedS");
        return new JobSpec(
                id,
                requireString(fields, "lane"),
                requireString(fields, "crew"),
                jobType,
                priority,
                (int) tasks,
                new Resources(cpus, requireNonNegative(fields, "cards"), requireNonNegative(fields, "ramGb")),
                machineTypes,
                fields.get("site") == null ? null : requireString(fields, "site"),
                requireBoolean(fields, "oneZone"),
                requireBoolean(fields, "apart"),
                requireBoolean(fields, "loaners"),
                requireString(fields, "bundle"),
                requireNonNegative(fields, "imageGb"),
                expectedS,
                requireNonNegative(fields, "bookmarkS"),
                requireNonNegative(fields, "stashS"),
                fields.get("dueS") == null ? Double.NaN : requireNonNegative(fields, "dueS"),
                nowMs);
    }

    private static String requireString(Map<String, Object> fields, String name) throws MalformedJobException {
        if (fields.get(name) instanceof String value
                && !value.isEmpty()
                && value.length() <= Constants.MAX_NAME_CHARS) {
            return value;
        }
        throw new MalformedJobException(name);
    }

    private static boolean requireBoolean(Map<String, Object> fields, String name) throws MalformedJobException {
        if (fields.get(name) instanceof Boolean value) {
            return value;
        }
        throw new MalformedJobException(name);
    }

    private static long requireInteger(Map<String, Object> fields, String name) throws MalformedJobException {
        if (fields.get(name) instanceof Long value) {
            return value;
        }
        throw new MalformedJobException(name);
    }

    private static double requireNonNegative(Map<String, Object> fields, String name) throws MalformedJobException {
        if (fields.get(name) instanceof Number value
                && Double.isFinite(value.doubleValue())
                && value.doubleValue() >= 0) {
            return value.doubleValue();
        }
        throw new MalformedJobException(name);
    }

    /**
     * Returns the reason why the job can never run, or null if it can.
     *
     * @param teams returns the team of a name, or null if there is none
     * @param types all machine types that the cloud offers
     */
    public static String unschedulableReason(
            JobSpec spec, Function<String, Team> teams, Collection<MachineType> types) {
        Team team = teams.apply(spec.team());
        if (team == null) {
            return "unknown team";
        }
        if (types.stream().noneMatch(spec::canEverRunOn)) {
            return "a task fits no allowed machine type";
        }
        // The replicas of a service run at the same time, as a gang's tasks do.
        if (!team.isWithinLimit(spec.jobType() == JobType.ARRAY ? spec.request() : spec.totalRequest())) {
            return "needs more than the team's limit";
        }
        return null;
    }
}
