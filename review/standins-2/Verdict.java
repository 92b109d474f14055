import java.nio.file.Path;

/** Runs a case: exit code 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
final class Verdict {
    /** Thrown if the case could not be set up. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String why) {
            super(why);
        }
    }

    /** A case; returns what broke the rule, or null if it held. */
    interface Case {
        String run(boolean trouble, Path record) throws Exception;
    }

    private Verdict() {}

    static void require(boolean holds, String what) {
        if (!holds) {
            throw new CannotRun(what);
        }
    }

    static void decide(String[] args, Case body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try {
            String broken = body.run(trouble, Path.of(args[0]));
            System.out.println(broken == null ? "held" : "broken: " + broken);
            code = broken == null ? 0 : 1;
        } catch (CannotRun e) {
            System.out.println("could not run: " + e.getMessage());
            code = 2;
        } catch (Exception e) {
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }
}
