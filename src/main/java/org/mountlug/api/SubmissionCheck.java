package org.mountlug.api;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Team;
import org.mountlug.settings.Settings;
import org.mountlug.store.RecordCodec;
import org.mountlug.wire.Cbor;
import org.mountlug.wire.Fields;

/** Judges whether a submission can be read and its job can run, before anything else is decided of it. */
final class SubmissionCheck {
    /** A submission that cannot be taken in, with the answer that its user gets. */
    static final class Rejected extends Exception {
        private static final long serialVersionUID = 1;

        private final transient UserAnswer answer;

        Rejected(UserAnswer answer) {
            super(String.valueOf(answer));
            this.answer = answer;
        }

        UserAnswer answer() {
            return answer;
        }
    }

    private final Map<String, Team> teams = new HashMap<>();
    private final int recordBytes;

    SubmissionCheck(Settings settings) {
        for (Team team : settings.teams()) {
            teams.put(team.name(), team);
        }
        recordBytes = (int) (settings.leastValueKb() * 1024 * Constants.VALUE_FILL);
    }

    /** Reads the fields of a body, of which only the id has been checked. */
    static Map<String, Object> fields(byte[] body) throws Rejected {
        if (body.length > Constants.BODY_MAX) {
            throw malformed("body over 64 KiB");
        }
        Map<String, Object> fields;
        try {
            fields = Cbor.readMap(body);
        } catch (IOException | RuntimeException e) {
            throw malformed("not a CBOR map");
        }
        if (!JobParser.validId(Fields.str(fields, "nameId"))) {
            throw malformed("nameId");
        }
        return fields;
    }

    /** The job as it will be recorded; {@code types} are the machine types by name, empty while they are not known. */
    JobSpec job(Map<String, Object> fields, Map<String, MachineType> types, long nowMs) throws Rejected {
        JobSpec spec;
        try {
            spec = JobParser.parse(fields, nowMs);
        } catch (JobParser.Malformed e) {
            throw malformed(e.getMessage());
        }
        if (types.isEmpty()) {
            throw new Rejected(UserAnswer.unavailable());
        }
        String hopeless = JobParser.hopeless(spec, teams::get, types.values());
        if (hopeless != null) {
            throw new Rejected(new UserAnswer.Unschedulable(hopeless));
        }
        JobSpec shortened = RecordCodec.fits(spec, recordBytes) ? spec : spec.narrowed(types.keySet());
        if (!RecordCodec.fits(shortened, recordBytes)) {
            throw malformed("description too long for the state service's limit");
        }
        return shortened;
    }

    private static Rejected malformed(String problem) {
        return new Rejected(new UserAnswer.Malformed(problem));
    }
}
