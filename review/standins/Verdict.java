import java.nio.file.Path;

/** Runs a case and turns its outcome into the exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
final class Verdict {
    /** Seconds after which a run is given up, so that it ends within 120 s. */
    private static final double LIMIT_S = 117;

    /** Thrown if a case cannot run. */
    static final class CannotRunException extends Exception {
        private static final long serialVersionUID = 1;

        CannotRunException(String reason) {
            super(reason);
        }
    }

    interface Case {
        /** Returns how the rule was broken, or null if it held. */
        String run(Platform platform, boolean trouble) throws Exception;
    }

    interface PlatformFactory {
        Platform create(Path caseFolder) throws Exception;
    }

    private Verdict() {}

    static void require(boolean condition, String reason) throws CannotRunException {
        if (!condition) {
            throw new CannotRunException(reason);
        }
    }

    static void run(String[] arguments, PlatformFactory factory, Case test) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Platform platform = factory.create(Path.of(arguments[0]).toAbsolutePath());
        Thread endProcesses = new Thread(platform::killControllers);
        Runtime.getRuntime().addShutdownHook(endProcesses);
        Thread watchdog = new Thread(() -> {
            World.sleep(LIMIT_S);
            platform.world.note("the case could not run: it takes too long");
            System.out.println("the case could not run: it takes too long");
            platform.killControllers();
            Runtime.getRuntime().halt(2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int code;
        String text;
        try {
            platform.world.note("the case begins, %s the disruption", trouble ? "with" : "without");
            String breach = test.run(platform, trouble);
            synchronized (platform.world) {
                if (!platform.otherBreaches.isEmpty()) {
                    platform.world.note("also seen: %s", platform.otherBreaches);
                }
            }
            code = breach == null ? 0 : 1;
            text = breach == null ? "the rule held" : "RULE BROKEN: " + breach;
        } catch (CannotRunException e) {
            code = 2;
            text = "the case could not run: " + e.getMessage();
        }
        platform.world.note("%s", text);
        System.out.println(text);
        platform.close();
        Runtime.getRuntime().removeShutdownHook(endProcesses);
        System.exit(code);
    }
}
