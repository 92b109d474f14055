package org.mountlug.node;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.store.StateClient;
import org.mountlug.store.StateKeys;
import org.mountlug.store.Transaction;
import org.mountlug.wire.Fields;

/**
 * Informs the leader through the state service how many workers' reports the other controllers receive, where they
 * cannot reach the leader directly. A follower that receives reports and cannot reach the leader writes their number; a
 * leader that receives hardly any reads the numbers. A number counts only if it was written during this term and again
 * since the last read, so that an old or delayed write has no effect.
 */
final class StoredReportCounts {
    private final StateClient state;
    private final String label;
    /** The revision of each controller's number at the last read, by its key. */
    private final Map<String, Long> lastRevisions = new HashMap<>();
    /** The fencing token of the term in which the numbers were last read. */
    private long lastReadToken = -1;

    private boolean callInFlight;
    private double nextCallS;
    private int peerReports;
    private double lastReadS = Double.NEGATIVE_INFINITY;

    StoredReportCounts(StateClient state, String label) {
        this.state = state;
        this.label = label;
    }

    /**
     * Writes the number of reports that this follower received. The write fails if the leader with this token does not
     * lead any more.
     */
    void write(int reportCount, long leaderToken, double nowS) {
        if (callInFlight || nowS < nextCallS) {
            return;
        }
        callInFlight = true;
        nextCallS = nowS + Constants.STORED_COUNTS_INTERVAL_S;
        Map<String, Object> value = new LinkedHashMap<>();
        value.put("n", (long) reportCount);
        value.put("t", leaderToken);
        Transaction transaction = new Transaction()
                .requireRevision(StateKeys.LEADER, leaderToken)
                .put(StateKeys.REPORT_COUNTS + label, value);
        state.commit(transaction, response -> callInFlight = false);
    }

    /** Reads the numbers that the other controllers have written during the term with this token. */
    void read(long token, double nowS) {
        if (callInFlight || nowS < nextCallS) {
            return;
        }
        callInFlight = true;
        nextCallS = nowS + Constants.STORED_COUNTS_INTERVAL_S + Constants.STORED_COUNTS_MARGIN_S;
        state.list(StateKeys.REPORT_COUNTS, null, response -> {
            callInFlight = false;
            if (response.status() != 200) {
                return;
            }
            boolean firstRead = lastReadToken != token;
            if (firstRead) {
                lastRevisions.clear();
                lastReadToken = token;
            }
            int sum = 0;
            for (Object element : Fields.getList(response.body(), "rows")) {
                Map<String, Object> row = Fields.asMap(element);
                Map<String, Object> value = Fields.asMap(row.get("v"));
                long revision = Fields.getLong(row, "stamp", 0);
                Long previousRevision = lastRevisions.put(Fields.getString(row, "k", ""), revision);
                boolean updated = !firstRead && (previousRevision == null || previousRevision < revision);
                if (updated && Fields.getLong(value, "t", -1) == token) {
                    sum += (int) Fields.getLong(value, "n", 0);
                }
            }
            peerReports = sum;
            lastReadS = nowS;
        });
    }

    /** Returns the sum of the numbers last read; 0 if that read is too old. */
    int peerReportCount(double nowS) {
        return nowS - lastReadS < 2 * Constants.STORED_COUNTS_INTERVAL_S ? peerReports : 0;
    }
}
