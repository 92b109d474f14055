package org.mountlug.node;

import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.store.StateClient;
import org.mountlug.store.StateKeys;
import org.mountlug.store.Transaction;
import org.mountlug.store.VersionCodec;
import org.mountlug.wire.Fields;

/**
 * Writes to the state service, once in the life of a process, which record formats this controller reads. Leaders use a
 * format that older versions do not read only once every controller has announced it, see {@link RecordSplitter}. The
 * announcement remains when the process ends, so an operator who goes back to an older version must delete it first.
 */
final class VersionAnnouncer {
    private final StateClient state;
    private final String label;
    private boolean announced;
    private boolean announcing;
    private double nextAttemptS;

    VersionAnnouncer(StateClient state, String label) {
        this.state = state;
        this.label = label;
    }

    /** Attempts to write the announcement until it is stored. */
    void tick(double nowS) {
        if (announced || announcing || nowS < nextAttemptS) {
            return;
        }
        announcing = true;
        nextAttemptS = nowS + Constants.VERSION_ANNOUNCE_RETRY_MS / 1000.0;
        String key = StateKeys.VERSIONS + label;
        state.get(key, Constants.STATE_TIMEOUT_MS, response -> {
            Map<String, Object> stored = Fields.asMap(response.body().get("v"));
            if (response.status() == 200 && VersionCodec.readsParts(stored) && VersionCodec.readsZones(stored)) {
                announced = true;
            }
            if (announced || response.status() != 200 && response.status() != 404) {
                announcing = false;
                return;
            }
            state.commit(
                    new Transaction()
                            .requireRevision(key, Fields.getLong(response.body(), "stamp", 0))
                            .put(key, VersionCodec.announcement()),
                    commitResponse -> {
                        announcing = false;
                        announced = commitResponse.status() == 200;
                    });
        });
    }
}
