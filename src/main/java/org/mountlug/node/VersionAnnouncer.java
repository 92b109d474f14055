package org.mountlug.node;

import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.store.StateClient;
import org.mountlug.store.StateKeys;
import org.mountlug.store.Transaction;
import org.mountlug.store.VersionCodec;
import org.mountlug.wire.Fields;

/**
 * Writes down, once in a life, which records this process reads. Leaders write what older versions do not know only when
 * every controller has, see {@link RecordSplitter}; so it stays when the process ends, and whoever starts an older version
 * again deletes it first.
 */
final class VersionAnnouncer {
    private final StateClient state;
    private final String label;
    private boolean announced;
    private boolean announcing;
    private double nextS;

    VersionAnnouncer(StateClient state, String label) {
        this.state = state;
        this.label = label;
    }

    /** Tries to write it, until it is written. */
    void announce(double now) {
        if (announced || announcing || now < nextS) {
            return;
        }
        announcing = true;
        nextS = now + Constants.VERSION_ANNOUNCE_RETRY_MS / 1000.0;
        String key = StateKeys.VERSIONS + label;
        state.get(key, Constants.STATE_TIMEOUT_MS, a -> {
            Map<String, Object> written = Fields.asMap(a.body().get("v"));
            if (a.status() == 200 && VersionCodec.readsParts(written) && VersionCodec.readsZones(written)) {
                announced = true;
            }
            if (announced || a.status() != 200 && a.status() != 404) {
                announcing = false;
                return;
            }
            state.commit(
                    new Transaction()
                            .requireRevision(key, Fields.getLong(a.body(), "stamp", 0))
                            .put(key, VersionCodec.announcement()),
                    b -> {
                        announcing = false;
                        announced = b.status() == 200;
                    });
        });
    }
}
