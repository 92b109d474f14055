package org.mountlug.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.Constants;

/**
 * What the peers' answers prove, without any I/O. While the state service serves nobody, a leader must go on renewing
 * workers' leases, or all work dies; but only up to a time until which every abort told to a user is known to it. Each
 * answer lists the peer's aborts, so it proves that up to when it was asked for; a peer that is silent, or was started
 * anew since, has proven nothing for the time between.
 */
public final class PeerView {
    private record PeerStatus(
            long boot,
            double sinceS,
            double untilS,
            boolean served,
            double heardS,
            long token,
            int reports,
            double reportsPeak) {}

    private record Abort(String id, double atS) {}

    private record Refusal(double sinceS, double lastS, int count) {}

    private final Map<String, Refusal> refusals = new HashMap<>();
    private final List<String> peers;
    private final double keepS;
    private final Map<String, PeerStatus> known = new HashMap<>();
    private final ArrayDeque<Abort> aborts = new ArrayDeque<>();

    /** A view of these peers, each of which lists its cancellations for {@code keepS} seconds. */
    public PeerView(List<String> peers, double keepS) {
        this.peers = peers;
        this.keepS = keepS;
    }

    /** This node is about to tell a user that the job is cancelled. */
    public synchronized void recordCancellation(String id, double nowS) {
        while (!aborts.isEmpty() && nowS - aborts.peekFirst().atS() > keepS) {
            aborts.pollFirst();
        }
        // Told again and again it needs no second place: whoever hears all of this list's span has heard the first.
        for (Abort a : aborts) {
            if (a.id().equals(id)) {
                return;
            }
        }
        aborts.addLast(new Abort(id, nowS));
    }

    /** The cancellations that this controller has to list now. */
    public synchronized List<String> recentCancellations(double nowS) {
        List<String> l = new ArrayList<>();
        for (Abort a : aborts) {
            if (nowS - a.atS() <= keepS) {
                l.add(a.id());
            }
        }
        return l;
    }

    /** A peer has answered a question that was asked at {@code askedS}. */
    public synchronized void recordResponse(String peer, double askedS, double nowS, PeerCodec.StatusResponse a) {
        PeerStatus k = known.get(peer);
        // Aborts are listed for keepS only, so a longer gap, like a new process or an overflow, starts anew.
        boolean goesOn = k != null
                && k.boot() == a.incarnation()
                && !a.cancellationsTruncated()
                && nowS - k.untilS() < keepS / 2;
        double peak = k == null ? 0 : k.reportsPeak() * Constants.REPORT_PEAK_DECAY;
        known.put(
                peer,
                new PeerStatus(
                        a.incarnation(),
                        goesOn ? k.sinceS() : askedS,
                        askedS,
                        a.stateAvailable(),
                        nowS,
                        a.token(),
                        a.recentReports(),
                        Math.max(peak, a.recentReports())));
    }

    /**
     * The steady seconds up to which all aborts are known, given that they are up to {@code viewS} by the state
     * service: later only if every peer's answers reach back to that time without a gap.
     */
    public synchronized double cancellationsKnownUntilS(double viewS, double nowS) {
        double until = nowS;
        for (String p : peers) {
            PeerStatus k = known.get(p);
            if (k == null || k.sinceS() > viewS) {
                return viewS;
            }
            until = Math.min(until, k.untilS());
        }
        return Math.max(viewS, until);
    }

    /** Whether every peer has answered a question that was asked since then. */
    public synchronized boolean haveAllRespondedSince(double sinceS) {
        for (String p : peers) {
            PeerStatus k = known.get(p);
            if (k == null || k.untilS() < sinceS) {
                return false;
            }
        }
        return true;
    }

    /** A connection to the peer was refused: nobody listens there, or a filter stands between. */
    public synchronized void recordRefusedConnection(String peer, double nowS) {
        Refusal r = refusals.get(peer);
        if (r == null || nowS - r.lastS() > Constants.PEER_REFUSAL_WINDOW_S) {
            refusals.put(peer, new Refusal(nowS, nowS, 1));
        } else {
            refusals.put(peer, new Refusal(r.sinceS(), nowS, r.count() + 1));
        }
    }

    /**
     * Whether the peer's process has ended, as far as can be told: it refuses again and again, while most of the others
     * have answered since it began to. Where the others refuse too, it is rather a filter between us.
     */
    public synchronized boolean hasProcessEnded(String peer, double nowS) {
        Refusal r = refusals.get(peer);
        if (r == null
                || r.count() < Constants.PEER_ENDED_REFUSALS
                || nowS - r.lastS() > Constants.PEER_REFUSAL_WINDOW_S) {
            return false;
        }
        PeerStatus it = known.get(peer);
        if (it != null && it.heardS() >= r.sinceS()) {
            return false;
        }
        int answered = 0;
        for (String p : peers) {
            PeerStatus k = known.get(p);
            if (!p.equals(peer) && k != null && k.heardS() >= r.sinceS()) {
                answered++;
            }
        }
        return answered > 0 && answered * 2 > peers.size() - 1;
    }

    /** Whether this peer has answered lately. */
    public synchronized boolean hasRespondedRecently(String peer, double nowS) {
        PeerStatus k = known.get(peer);
        return k != null && nowS - k.heardS() < Constants.PEER_RESPONSE_VALID_S;
    }

    /** Whether every peer has answered lately. */
    public synchronized boolean haveAllRespondedRecently(double nowS) {
        for (String p : peers) {
            if (!hasRespondedRecently(p, nowS)) {
                return false;
            }
        }
        return true;
    }

    /** Whether some peer said lately that the state service serves it. */
    public synchronized boolean isStateAvailableToAnyPeer(double nowS) {
        for (PeerStatus k : known.values()) {
            if (k.served() && nowS - k.heardS() < Constants.PEER_RESPONSE_VALID_S) {
                return true;
            }
        }
        return false;
    }

    /** How many workers' reports have lately come to the peers. */
    public synchronized int recentPeerReportCount(double nowS) {
        int n = 0;
        for (PeerStatus k : known.values()) {
            if (nowS - k.heardS() < Constants.PEER_RESPONSE_VALID_S) {
                n += k.reports();
            }
        }
        return n;
    }

    /** Whether next to no report comes to this peer any more, by its own word, while many did some seconds before. */
    public synchronized boolean haveReportsCeased(String peer, double nowS) {
        PeerStatus k = known.get(peer);
        return hasRespondedRecently(peer, nowS)
                && k.reportsPeak() >= Constants.ISOLATION_MIN_REPORTS
                && k.reports() <= k.reportsPeak() * Constants.ISOLATION_OWN_REPORT_SHARE;
    }

    /** The highest leader's token that a peer knows of. */
    public synchronized long highestKnownToken() {
        long t = 0;
        for (PeerStatus k : known.values()) {
            t = Math.max(t, k.token());
        }
        return t;
    }
}
