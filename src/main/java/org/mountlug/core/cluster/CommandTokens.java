package org.mountlug.core.cluster;

/**
 * Decides which fencing token the messages to a worker carry, and when a worker may be told to forget an attempt.
 *
 * <p>A copy of a direct start has an effect for as long as the worker accepts its token and does not know the attempt. The
 * worker therefore forgets an attempt only with a message whose token is higher than the one of its direct start, so that it
 * refuses every copy from then on. All tokens from the term token up to the proven revision belong to this term:
 * see "When a worker may forget an attempt" in {@code docs/design.md}.
 */
final class CommandTokens {
    private final long termToken;
    private long provenRevision;

    CommandTokens(long termToken) {
        this.termToken = termToken;
        this.provenRevision = termToken;
    }

    long termToken() {
        return termToken;
    }

    long provenRevision() {
        return provenRevision;
    }

    /** Records the revision of a successful transaction that was guarded by the leader key of this term. */
    void recordProvenRevision(long revision) {
        provenRevision = Math.max(provenRevision, revision);
    }

    /** Whether only this term can have sent the token, so that no earlier leader's command can take effect any more. */
    boolean isOfThisTerm(long token) {
        return token >= termToken && token <= provenRevision;
    }

    /** Whether a leader after this term has sent the token. */
    boolean isOfLaterTerm(long token) {
        return token > provenRevision;
    }

    /** Returns the token that messages to the machine carry now; it never falls during a term. */
    long currentToken(Machine machine) {
        return Math.max(termToken, machine.commandToken);
    }

    /** Records the highest token that the worker has seen; messages with a lower one would have no effect. */
    void recordWorkerToken(Machine machine, long token) {
        if (isOfThisTerm(token) && token > currentToken(machine)) {
            raise(machine, token);
        }
    }

    /**
     * Whether the response that is being prepared may tell the worker to forget the attempt. Raises the token of the
     * response if the attempt was started directly under the current one. While direct commands are in flight the token
     * stays as it is, as the worker would refuse them.
     */
    boolean allowForget(Machine machine, String attemptKey) {
        if (!machine.directStartsUnderToken.contains(attemptKey)) {
            return true;
        }
        if (machine.directCommandsInFlight || provenRevision <= currentToken(machine)) {
            return false;
        }
        raise(machine, provenRevision);
        return true;
    }

    private static void raise(Machine machine, long token) {
        machine.commandToken = token;
        machine.directStartsUnderToken.clear();
    }
}
