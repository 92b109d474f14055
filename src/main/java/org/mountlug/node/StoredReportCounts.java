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
 * How many workers' reports come to the other controllers, told through the state service where the leader cannot be
 * told directly. A follower that hears workers, and cannot reach the leader, writes their number; a leader that hears
 * none reads it. A number counts only if it was written during this term and anew since the last reading, so that what is
 * old, or carried out late, proves nothing.
 */
final class StoredReportCounts {
    private final StateClient state;
    private final String label;
    /** By controller, the revision of its number at the last reading. */
    private final Map<String, Long> stamps = new HashMap<>();
    /** The term of the last reading, by its token. */
    private long term = -1;

    private boolean busy;
    private double nextS;
    private int elsewhere;
    private double readS = Double.NEGATIVE_INFINITY;

    StoredReportCounts(StateClient state, String label) {
        this.state = state;
        this.label = label;
    }

    /** Writes how many reports came to this follower while the controller with this token leads. */
    void write(int reports, long leaderToken, double nowS) {
        if (busy || nowS < nextS) {
            return;
        }
        busy = true;
        nextS = nowS + Constants.STORED_COUNTS_INTERVAL_S;
        Map<String, Object> value = new LinkedHashMap<>();
        value.put("n", (long) reports);
        value.put("t", leaderToken);
        Transaction change = new Transaction()
                .requireRevision(StateKeys.LEADER, leaderToken)
                .put(StateKeys.REPORT_COUNTS + label, value);
        state.commit(change, answer -> busy = false);
    }

    /** Reads what the others have written, for the leader with this token. */
    void read(long token, double nowS) {
        if (busy || nowS < nextS) {
            return;
        }
        busy = true;
        nextS = nowS + Constants.STORED_COUNTS_INTERVAL_S + Constants.STORED_COUNTS_MARGIN_S;
        state.list(StateKeys.REPORT_COUNTS, null, answer -> {
            busy = false;
            if (answer.status() != 200) {
                return;
            }
            boolean first = term != token;
            if (first) {
                stamps.clear();
                term = token;
            }
            int sum = 0;
            for (Object row : Fields.getList(answer.body(), "rows")) {
                Map<String, Object> r = Fields.asMap(row);
                Map<String, Object> value = Fields.asMap(r.get("v"));
                long stamp = Fields.getLong(r, "stamp", 0);
                Long before = stamps.put(Fields.getString(r, "k", ""), stamp);
                boolean anew = !first && (before == null || before < stamp);
                if (anew && Fields.getLong(value, "t", -1) == token) {
                    sum += (int) Fields.getLong(value, "n", 0);
                }
            }
            elsewhere = sum;
            readS = nowS;
        });
    }

    /** How many reports came to the others, as far as lately read. */
    int peerReportCount(double nowS) {
        return nowS - readS < 2 * Constants.STORED_COUNTS_INTERVAL_S ? elsewhere : 0;
    }
}
