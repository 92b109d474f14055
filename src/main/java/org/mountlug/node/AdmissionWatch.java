package org.mountlug.node;

import java.util.HashMap;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.core.admit.AdmissionGate;
import org.mountlug.store.AdmissionCodec;
import org.mountlug.store.StateClient;
import org.mountlug.store.StateKeys;
import org.mountlug.wire.Fields;
import org.mountlug.wire.PooledHttpClient;

/**
 * Keeps a controller's view of the published admission table: reads it once and watches it from then on. An answer
 * confirms the view up to the time at which it can have been sent, however late it was read. A view that nothing has
 * confirmed for long is read anew, as a watch may stay open without an answer.
 */
final class AdmissionWatch {
    private final Environment environment;
    private final StateClient state;
    private final AdmissionGate gate;
    private final Map<String, Map<String, Object>> records = new HashMap<>();
    private long watchFrom = -1;
    private boolean watching;
    private boolean reading;
    private double nextReadS;

    AdmissionWatch(Environment environment, AdmissionGate gate) {
        this.environment = environment;
        this.state = environment.state();
        this.gate = gate;
    }

    /** Opens the watch whenever it is closed, and reads where it does not answer. */
    void tick(double nowS) {
        double readAfterS = environment.operators().admission().staleViewS() * Constants.Admission.REREAD_AFTER_SHARE;
        boolean old = watchFrom < 0 || nowS - gate.tableConfirmedAtS() > readAfterS;
        if (old && !reading && nowS >= nextReadS) {
            read(nowS);
        }
        if (watchFrom >= 0 && !watching) {
            watch(nowS);
        }
    }

    private void read(double askedS) {
        reading = true;
        nextReadS = askedS + Constants.Admission.REREAD_INTERVAL_S;
        state.list(StateKeys.ADMISSION, null, answer -> {
            reading = false;
            if (answer.status() != 200) {
                return;
            }
            records.clear();
            for (Object element : Fields.getList(answer.body(), "rows")) {
                Map<String, Object> row = Fields.asMap(element);
                records.put(Fields.getString(row, "k"), Fields.asMap(row.get("v")));
            }
            watchFrom = Fields.getLong(answer.body(), "epoch", 0);
            gate.updateTable(AdmissionCodec.read(records.values()), askedS);
        });
    }

    private void watch(double askedS) {
        watching = true;
        long from = watchFrom;
        state.watch(StateKeys.ADMISSION, from, Constants.WATCH_BLOCK_MS, answer -> {
            environment.timer().accept(() -> watching = false, Constants.Admission.WATCH_PAUSE_MS);
            if (answer.status() == 410) {
                watchFrom = -1;
            }
            if (answer.status() == 200 && watchFrom == from) {
                take(answer, askedS);
            }
        });
    }

    private void take(PooledHttpClient.Response answer, double askedS) {
        watchFrom = Math.max(watchFrom, Fields.getLong(answer.body(), "epoch", 0));
        for (Object element : Fields.getList(answer.body(), "news")) {
            Map<String, Object> change = Fields.asMap(element);
            String key = Fields.getString(change, "put");
            if (key != null) {
                records.put(key, Fields.asMap(change.get("v")));
            } else {
                records.remove(Fields.getString(change, "delete"));
            }
        }
        double latestS = askedS + Constants.WATCH_BLOCK_MS / 1000.0;
        double nowS = environment.clockS().getAsDouble();
        gate.updateTable(AdmissionCodec.read(records.values()), Math.min(nowS, latestS));
    }
}
