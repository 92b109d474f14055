package org.mountlug.node;

import java.util.HashSet;
import java.util.Set;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.MachineType;
import org.mountlug.store.JobRecordCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Whether records may be stored in parts, which an older version does not read, and which jobs must be. */
final class RecordSplitter {
    private static final Logger LOG = LoggerFactory.getLogger(RecordSplitter.class);

    private final LeaderTerm term;
    /** Whether every controller is durably known to read parts. */
    private boolean parts;

    private final AnnouncedVersions versions;

    RecordSplitter(LeaderTerm term, AnnouncedVersions versions) {
        this.term = term;
        this.versions = versions;
    }

    /** Notices when parts may be written. */
    void tick() {
        if (!parts && versions.allReadParts()) {
            allowParts();
        }
    }

    private void allowParts() {
        LOG.info("every controller reads parts of records; they are written from now on");
        parts = true;
        term.cluster.allowRecordParts();
        double nowS = term.nowS();
        // What may be larger than the limits to come is written anew while nobody waits for it.
        for (Job job : term.cluster.jobs.values()) {
            if (mustSplit(job)) {
                job.markChanged(nowS, false);
            }
        }
    }

    /** Whether a job may grow beyond what its own record holds. */
    boolean mustSplit(Job job) {
        return parts && !job.isSplit() && job.spec.tasks() > layout(job).ownTasks();
    }

    private JobRecordCodec.PartLayout layout(Job job) {
        return JobRecordCodec.layoutFor(job.storedSpec, term.maxValueChars(), term.cluster.maxMachineNameLength());
    }

    /** From now on the job is stored in parts. */
    void split(Job job, double nowS) {
        if (!JobRecordCodec.fits(job.storedSpec, term.maxValueChars())) {
            Set<String> types = new HashSet<>();
            for (MachineType type : term.cluster.types()) {
                types.add(type.name());
            }
            job.storedSpec = job.storedSpec.withKnownMachineTypes(types);
        }
        JobRecordCodec.PartLayout layout = layout(job);
        job.splitIntoParts(layout.ownTasks(), layout.tasksPerPart(), nowS);
    }
}
