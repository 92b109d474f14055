package org.mountlug.node;

import java.util.HashSet;
import java.util.Set;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.MachineType;
import org.mountlug.store.RecordCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Whether records may be stored in parts, which an older version does not read, and which jobs must be. */
final class RecordLayout {
    private static final Logger LOG = LoggerFactory.getLogger(RecordLayout.class);

    private final LeaderTerm term;
    /** Whether every controller is durably known to read parts. */
    private boolean parts;

    private final AnnouncedVersions versions;

    RecordLayout(LeaderTerm term, AnnouncedVersions versions) {
        this.term = term;
        this.versions = versions;
    }

    /** Notices when parts may be written. */
    void tick() {
        if (!parts && versions.readParts()) {
            allowParts();
        }
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
