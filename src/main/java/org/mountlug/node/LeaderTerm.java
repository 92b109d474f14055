package org.mountlug.node;

import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.lead.Election;
import org.mountlug.store.StateKeys;
import org.mountlug.store.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * State that the components of a leader share for one term: the cluster, which holds the fencing token, and whether the term
 * has ended. After the end, timers and responses of the term have no effect.
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

    /** Whether the leader lease is known to be held at this monotonic time. */
    boolean isLeaseHeld(double nowS) {
        return election.isLeaseHeld(nowS);
    }

    boolean hasEnded() {
        return ended;
    }

    void end() {
        ended = true;
    }

    /** Ends this controller's leadership because another leader has been noticed. */
    void depose(String reason) {
        LOG.info("deposed: {}", reason);
        election.depose();
    }

    /** Runs a task after {@code ms} milliseconds, unless the term has ended by then. */
    void runLater(Runnable task, int ms) {
        Runnable guarded = () -> {
            if (!ended) {
                task.run();
            }
        };
        environment.timer().accept(guarded, ms);
    }

    /** Returns a transaction that succeeds only while the leader key of this term exists. */
    Transaction newFencedTransaction() {
        return new Transaction().requireRevision(StateKeys.LEADER, cluster.termToken());
    }

    /** Returns the maximum number of characters of a value, under the lower of the current and the announced limit. */
    int maxValueChars() {
        return (int) (environment.settings().strictestValueLimitKb() * 1024 * Constants.VALUE_FILL_SHARE);
    }
}
