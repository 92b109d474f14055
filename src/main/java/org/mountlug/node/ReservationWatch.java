package org.mountlug.node;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.mountlug.Constants;
import org.mountlug.store.StateClient;
import org.mountlug.store.StateKeys;
import org.mountlug.wire.Fields;

/**
 * Watches the reservations as a follower, so that every controller can show their number. A new leader reads them
 * itself before its first round, as the last response of a watch may be out of date.
 */
final class ReservationWatch {
    private final StateClient state;
    private final Metrics metrics;
    private final Set<String> reservationKeys = new HashSet<>();
    private long watchRevision = -1;
    private boolean watching;
    private double nextOpenS;

    ReservationWatch(StateClient state, Metrics metrics) {
        this.state = state;
        this.metrics = metrics;
    }

    /** Opens the watch if it is closed and the pause after its last opening is over; to be called by followers only. */
    void tick(double nowS) {
        if (watching || nowS < nextOpenS) {
            return;
        }
        watching = true;
        nextOpenS = nowS + Constants.RESERVATION_WATCH_PAUSE_MS / 1000.0;
        if (watchRevision < 0) {
            state.list(StateKeys.RESERVATIONS, null, response -> {
                watching = false;
                if (response.status() != 200) {
                    return;
                }
                reservationKeys.clear();
                for (Object element : Fields.getList(response.body(), "rows")) {
                    reservationKeys.add(Fields.getString(Fields.asMap(element), "k"));
                }
                watchRevision = Fields.getLong(response.body(), "epoch", 0);
                metrics.setReservationCount(reservationKeys.size());
            });
            return;
        }
        state.watch(StateKeys.RESERVATIONS, watchRevision, Constants.WATCH_BLOCK_MS, response -> {
            watching = false;
            if (response.status() == 410) {
                watchRevision = -1;
            }
            if (response.status() != 200) {
                return;
            }
            watchRevision = Math.max(watchRevision, Fields.getLong(response.body(), "epoch", 0));
            for (Object element : Fields.getList(response.body(), "news")) {
                Map<String, Object> change = Fields.asMap(element);
                String key = Fields.getString(change, "put");
                if (key != null) {
                    reservationKeys.add(key);
                } else {
                    reservationKeys.remove(Fields.getString(change, "delete"));
                }
            }
            metrics.setReservationCount(reservationKeys.size());
        });
    }
}
