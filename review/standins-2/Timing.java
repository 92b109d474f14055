/** Waiting. */
final class Timing {
    private Timing() {}

    interface Condition {
        boolean holds();
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep(Math.max(0, (long) (seconds * 1000)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until the condition holds, at most until the time since the start; returns whether it holds. */
    static boolean await(double untilS, Condition condition) {
        while (!condition.holds()) {
            if (Record.now() > untilS) {
                return false;
            }
            sleep(0.05);
        }
        return true;
    }
}
