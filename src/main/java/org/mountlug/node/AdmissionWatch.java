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
 * Keeps a controller's view of the published admission table: reads the table once and watches it from then on. A
 * response of the watch confirms the view up to the latest time at which it can have been sent, however late it is
 * read. A view that has not been confirmed for long is read again, as a watch may stay open without a response.
 */
final class AdmissionWatch {
    private final Environment environment;
    private final StateClient state;
    private final AdmissionGate gate;
    private final Map<String, Map<String, Object>> recordsByKey = new HashMap<>();
    private long watchRevision = -1;
    private boolean watching;
    private boolean reading;
    private double nextReadS;

    AdmissionWatch(Environment environment, AdmissionGate gate) {
        this.environment = environment;
        this.state = environment.state();
        this.gate = gate;
    }

    /** Opens the watch whenever it is closed, and reads the table if the watch has not confirmed it for long. */
    void tick(double nowS) {
        double readAfterS = environment.operators().admission().staleViewS() * Constants.Admission.REREAD_AFTER_SHARE;
        boolean stale = watchRevision < 0 || nowS - gate.tableConfirmedAtS() > readAfterS;
        if (stale && !reading && nowS >= nextReadS) {
            read(nowS);
        }
        if (watchRevision >= 0 && !watching) {
            watch(nowS);
        }
    }

    private void read(double requestedS) {
        reading = true;
        nextReadS = requestedS + Constants.Admission.REREAD_INTERVAL_S;
        state.list(StateKeys.ADMISSION, null, response -> {
            reading = false;
            if (response.status() != 200) {
                return;
            }
            recordsByKey.clear();
            for (Object element : Fields.getList(response.body(), "rows")) {
                Map<String, Object> row = Fields.asMap(element);
                recordsByKey.put(Fields.getString(row, "k"), Fields.asMap(row.get("v")));
            }
            watchRevision = Fields.getLong(response.body(), "epoch", 0);
            gate.updateTable(AdmissionCodec.read(recordsByKey.values()), requestedS);
        });
    }

    private void watch(double requestedS) {
        watching = true;
        long startRevision = watchRevision;
        state.watch(StateKeys.ADMISSION, startRevision, Constants.WATCH_BLOCK_MS, response -> {
            environment.timer().accept(() -> watching = false, Constants.Admission.WATCH_PAUSE_MS);
            if (response.status() == 410) {
                watchRevision = -1;
            }
            if (response.status() == 200 && watchRevision == startRevision) {
                applyChanges(response, requestedS);
            }
        });
    }

    private void applyChanges(PooledHttpClient.Response response, double requestedS) {
        watchRevision = Math.max(watchRevision, Fields.getLong(response.body(), "epoch", 0));
        for (Object element : Fields.getList(response.body(), "news")) {
            Map<String, Object> change = Fields.asMap(element);
            String key = Fields.getString(change, "put");
            if (key != null) {
                recordsByKey.put(key, Fields.asMap(change.get("v")));
            } else {
                recordsByKey.remove(Fields.getString(change, "delete"));
            }
        }
        double latestResponseS = requestedS + Constants.WATCH_BLOCK_MS / 1000.0;
        double nowS = environment.clockS().getAsDouble();
        gate.updateTable(AdmissionCodec.read(recordsByKey.values()), Math.min(nowS, latestResponseS));
    }
}
