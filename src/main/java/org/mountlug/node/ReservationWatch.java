package org.mountlug.node;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.mountlug.Constants;
import org.mountlug.store.StateClient;
import org.mountlug.store.StateKeys;
import org.mountlug.wire.Fields;

/**
 * Followers watch the reservations, as the design has it, so that every node can tell what is held for whom. A new leader
 * still reads them itself before its first round: what a watch last said may be behind.
 */
final class ReservationWatch {
    private final StateClient state;
    private final Metrics metrics;
    private final Set<String> reserved = new HashSet<>();
    private long from = -1;
    private boolean watching;
    private double nextS;

    ReservationWatch(StateClient state, Metrics metrics) {
        this.state = state;
        this.metrics = metrics;
    }

    /** Opens the watch whenever it is closed and it is time; to be called while this node follows. */
    void watch(double now) {
        if (watching || now < nextS) {
            return;
        }
        watching = true;
        nextS = now + Constants.RESERVATION_WATCH_PAUSE_MS / 1000.0;
        if (from < 0) {
            state.list(StateKeys.RESERVATIONS, null, a -> {
                watching = false;
                if (a.status() != 200) {
                    return;
                }
                reserved.clear();
                for (Object o : Fields.getList(a.body(), "rows")) {
                    reserved.add(Fields.getString(Fields.asMap(o), "k"));
                }
                from = Fields.getLong(a.body(), "epoch", 0);
                metrics.setReservationCount(reserved.size());
            });
            return;
        }
        state.watch(StateKeys.RESERVATIONS, from, Constants.WATCH_BLOCK_MS, a -> {
            watching = false;
            if (a.status() == 410) {
                from = -1;
            }
            if (a.status() != 200) {
                return;
            }
            from = Math.max(from, Fields.getLong(a.body(), "epoch", 0));
            for (Object o : Fields.getList(a.body(), "news")) {
                Map<String, Object> e = Fields.asMap(o);
                String put = Fields.getString(e, "put");
                if (put != null) {
                    reserved.add(put);
                } else {
                    reserved.remove(Fields.getString(e, "delete"));
                }
            }
            metrics.setReservationCount(reserved.size());
        });
    }
}
