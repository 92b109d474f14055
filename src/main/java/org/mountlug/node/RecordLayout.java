package org.mountlug.node;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.mountlug.Constants;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.MachineType;
import org.mountlug.settings.Settings;
import org.mountlug.store.RecordCodec;
import org.mountlug.wire.Fields;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Whether records may be stored in parts, which an older version does not read, and which jobs must be. */
final class RecordLayout {
    private static final Logger LOG = LoggerFactory.getLogger(RecordLayout.class);

    private final LeaderTerm term;
    /** Whether every controller is durably known to read parts. */
    private boolean parts;

    private boolean reading;
    private double nextReadS;

    RecordLayout(LeaderTerm term) {
        this.term = term;
    }

    /** Looks whether parts may be written, as long as they may not. */
    void tick(double nowS) {
        if (!parts && nowS >= nextReadS && !reading) {
            readVersions(nowS);
        }
    }

    /**
     * Whether every controller that the settings name runs code that reads parts, by what each has written itself. Not
     * by what a peer says: only what is durable still holds for the next leader.
     */
    private void readVersions(double nowS) {
        reading = true;
        nextReadS = nowS + Constants.VERSIONS_MS / 1000.0;
        term.environment.state().list(RecordCodec.VERSIONS, null, answer -> {
            reading = false;
            if (!term.ended() && answer.status() == 200 && allRead(answer.body())) {
                allowParts();
            }
        });
    }

    private boolean allRead(Map<String, Object> body) {
        Set<String> readers = new HashSet<>();
        for (Object row : Fields.list(body, "rows")) {
            Map<String, Object> version = Fields.map(row);
            if (Fields.num(Fields.map(version.get("v")), "layout", 1) >= RecordCodec.LAYOUT) {
                readers.add(Fields.str(version, "k").substring(RecordCodec.VERSIONS.length()));
            }
        }
        Settings settings = term.environment.settings();
        return readers.contains(settings.label())
                && settings.others().stream().allMatch(peer -> readers.contains(peer.label()));
    }

    private void allowParts() {
        LOG.info("every controller reads parts of records; they are written from now on");
        parts = true;
        term.cluster.partsAllowed();
        double nowS = term.nowS();
        // What may be larger than the limits to come is written anew while nobody waits for it.
        for (Job job : term.cluster.jobs.values()) {
            if (mustSplit(job)) {
                job.touch(nowS, false);
            }
        }
    }

    /** Whether a job may grow beyond what its own record holds. */
    boolean mustSplit(Job job) {
        return parts && !job.split() && job.spec.tasks() > layout(job).own();
    }

    private RecordCodec.Layout layout(Job job) {
        return RecordCodec.layout(job.written, term.valueChars(), term.cluster.longestName());
    }

    /** From now on the job is stored in parts. */
    void split(Job job, double nowS) {
        if (!RecordCodec.fits(job.written, term.valueChars())) {
            Set<String> types = new HashSet<>();
            for (MachineType type : term.cluster.types()) {
                types.add(type.name());
            }
            job.written = job.written.narrowed(types);
        }
        RecordCodec.Layout layout = layout(job);
        job.split(layout.own(), layout.per(), nowS);
    }
}
