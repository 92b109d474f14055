package org.mountlug.node;

import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.lead.Election;
import org.mountlug.store.StateKeys;
import org.mountlug.store.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the parts of a leader share for one term: its picture of the cluster, its fencing token and whether the term is over.
 * Once it is, no timer and no answer of the term has any effect.
 */
final class LeaderTerm {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);

    final Environment environment;
    final Cluster cluster;
    private final Election election;
    private boolean ended;

    LeaderTerm(Environment environment, Election election) {
        this.environment = environment;
        this.election = election;
        this.cluster = new Cluster(
                election.token(),
                environment.settings().workerLeaseS(),
                environment.settings().teams());
    }

    double nowS() {
        return environment.clockS().getAsDouble();
    }

    /** Whether the lease of the leader key is proven to be held at this time. */
    boolean isLeaseHeld(double nowS) {
        return election.isLeaseHeld(nowS);
    }

    boolean hasEnded() {
        return ended;
    }

    void end() {
        ended = true;
    }

    /** Another leader was noticed: this controller leads no more. */
    void depose(String reason) {
        LOG.info("deposed: {}", reason);
        election.depose();
    }

    /** Runs something after a while, unless the term is over by then. */
    void runLater(Runnable task, int ms) {
        Runnable guarded = () -> {
            if (!ended) {
                task.run();
            }
        };
        environment.timer().accept(guarded, ms);
    }

    /** A transaction that succeeds only while this term's key is there. */
    Transaction newFencedTransaction() {
        return new Transaction().requireRevision(StateKeys.LEADER, cluster.token());
    }

    /** Characters that a value may have, under the least of the limits in force and to come. */
    int maxValueChars() {
        return (int) (environment.settings().strictestValueLimitKb() * 1024 * Constants.VALUE_FILL_SHARE);
    }
}
