package org.mountlug.api;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Team;
import org.mountlug.settings.Settings;
import org.mountlug.store.JobRecordCodec;
import org.mountlug.wire.Cbor;
import org.mountlug.wire.Fields;

/** Checks that a submission is well-formed and that its job can run and be stored, before admission is decided. */
final class SubmissionValidator {
    /** Thrown if a submission is rejected; holds the response to its user. */
    static final class RejectedSubmissionException extends Exception {
        private static final long serialVersionUID = 1;

        private final transient UserResponse response;

        RejectedSubmissionException(UserResponse response) {
            super(String.valueOf(response));
            this.response = response;
        }

        UserResponse response() {
            return response;
        }
    }

    private final Map<String, Team> teams = new HashMap<>();
    private final int maxRecordChars;

    SubmissionValidator(Settings settings) {
        for (Team team : settings.teams()) {
            teams.put(team.name(), team);
        }
        maxRecordChars = (int) (settings.strictestValueLimitKb() * 1024 * Constants.VALUE_FILL_SHARE);
    }

    /** Returns the fields of a body; of these, only the id has been checked. */
    static Map<String, Object> parseFields(byte[] body) throws RejectedSubmissionException {
        if (body.length > Constants.MAX_BODY_BYTES) {
            throw malformed("body over 64 KiB");
        }
        Map<String, Object> fields;
        try {
            fields = Cbor.readMap(body);
        } catch (IOException | RuntimeException e) {
            throw malformed("not a CBOR map");
        }
        if (!JobParser.isValidId(Fields.getString(fields, "nameId"))) {
            throw malformed("nameId");
        }
        return fields;
    }

    /**
     * Returns the job as it will be recorded. A description that is too long for a record loses the allowed machine types
     * that do not exist.
     *
     * @param machineTypes all machine types by name; empty if they have not been read yet
     * @param nowMs epoch milliseconds, recorded as the time of submission
     */
    JobSpec toJobSpec(Map<String, Object> fields, Map<String, MachineType> machineTypes, long nowMs)
            throws RejectedSubmissionException {
        JobSpec spec;
        try {
            spec = JobParser.parse(fields, nowMs);
        } catch (JobParser.MalformedJobException e) {
            throw malformed(e.getMessage());
        }
        if (machineTypes.isEmpty()) {
            throw new RejectedSubmissionException(UserResponse.unavailable());
        }
        String unschedulableReason = JobParser.unschedulableReason(spec, teams::get, machineTypes.values());
        if (unschedulableReason != null) {
            throw new RejectedSubmissionException(new UserResponse.Unschedulable(unschedulableReason));
        }
        JobSpec storableSpec =
                JobRecordCodec.fits(spec, maxRecordChars) ? spec : spec.withOfferedMachineTypes(machineTypes.keySet());
        if (!JobRecordCodec.fits(storableSpec, maxRecordChars)) {
            throw malformed("description too long for the state service's limit");
        }
        return storableSpec;
    }

    private static RejectedSubmissionException malformed(String problem) {
        return new RejectedSubmissionException(new UserResponse.Malformed(problem));
    }
}
