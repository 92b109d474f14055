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

/** Judges whether a submission can be read and its job can run, before anything else is decided of it. */
final class SubmissionValidator {
    /** A submission that cannot be taken in, with the answer that its user gets. */
    static final class RejectedSubmissionException extends Exception {
        private static final long serialVersionUID = 1;

        private final transient UserResponse answer;

        RejectedSubmissionException(UserResponse answer) {
            super(String.valueOf(answer));
            this.answer = answer;
        }

        UserResponse answer() {
            return answer;
        }
    }

    private final Map<String, Team> teams = new HashMap<>();
    private final int recordBytes;

    SubmissionValidator(Settings settings) {
        for (Team team : settings.teams()) {
            teams.put(team.name(), team);
        }
        recordBytes = (int) (settings.strictestValueLimitKb() * 1024 * Constants.VALUE_FILL_SHARE);
    }

    /** Reads the fields of a body, of which only the id has been checked. */
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

    /** The job as it will be recorded; {@code types} are the machine types by name, empty while they are not known. */
    JobSpec toJobSpec(Map<String, Object> fields, Map<String, MachineType> types, long nowMs)
            throws RejectedSubmissionException {
        JobSpec spec;
        try {
            spec = JobParser.parse(fields, nowMs);
        } catch (JobParser.MalformedJobException e) {
            throw malformed(e.getMessage());
        }
        if (types.isEmpty()) {
            throw new RejectedSubmissionException(UserResponse.unavailable());
        }
        String hopeless = JobParser.unschedulableReason(spec, teams::get, types.values());
        if (hopeless != null) {
            throw new RejectedSubmissionException(new UserResponse.Unschedulable(hopeless));
        }
        JobSpec shortened = JobRecordCodec.fits(spec, recordBytes) ? spec : spec.withKnownMachineTypes(types.keySet());
        if (!JobRecordCodec.fits(shortened, recordBytes)) {
            throw malformed("description too long for the state service's limit");
        }
        return shortened;
    }

    private static RejectedSubmissionException malformed(String problem) {
        return new RejectedSubmissionException(new UserResponse.Malformed(problem));
    }
}
