package org.mountlug.node;

import java.util.HashSet;
import java.util.Set;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.MachineType;
import org.mountlug.store.JobRecordCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides which jobs are stored in record parts. Parts are written only once every controller can read them, because older
 * versions cannot.
 */
final class RecordSplitter {
    private static final Logger LOG = LoggerFactory.getLogger(RecordSplitter.class);

    private final LeaderTerm term;
    /** Whether every controller has announced durably that it reads parts. */
    private boolean partsAllowed;

    private final AnnouncedVersions versions;

    RecordSplitter(LeaderTerm term, AnnouncedVersions versions) {
        this.term = term;
        this.versions = versions;
    }

    /** Allows parts as soon as every controller has announced that it reads them. */
    void tick() {
        if (!partsAllowed && versions.allReadParts()) {
            allowParts();
        }
    }

    private void allowParts() {
        LOG.info("every controller reads parts of records; large records are split from now on");
        partsAllowed = true;
        term.cluster.allowRecordParts();
        double nowS = term.nowS();
        // Records that may exceed an announced lower value limit are rewritten in parts now, without urgency.
        for (Job job : term.cluster.jobs.values()) {
            if (mustSplit(job)) {
                job.markChanged(nowS, false);
            }
        }
    }

    /** Whether the job must be split, because its progress may grow beyond what its main record can hold. */
    boolean mustSplit(Job job) {
        return partsAllowed
                && !job.isSplit()
                && job.spec.tasks() > partLayout(job).mainRecordTasks();
    }

    private JobRecordCodec.PartLayout partLayout(Job job) {
        return JobRecordCodec.layoutFor(job.storedSpec, term.maxValueChars(), term.cluster.maxMachineNameLength());
    }

    /**
     * Splits the job's record into parts. If its specification alone does not fit into a record, machine types that the
     * cloud does not offer are left out of the stored specification.
     */
    void split(Job job, double nowS) {
        if (!JobRecordCodec.fits(job.storedSpec, term.maxValueChars())) {
            Set<String> knownTypes = new HashSet<>();
            for (MachineType type : term.cluster.types()) {
                knownTypes.add(type.name());
            }
            job.storedSpec = job.storedSpec.withOfferedMachineTypes(knownTypes);
        }
        JobRecordCodec.PartLayout layout = partLayout(job);
        job.splitIntoParts(layout.mainRecordTasks(), layout.tasksPerPart(), nowS);
    }
}
