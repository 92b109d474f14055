package org.mountlug.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The core decides without input or output: time and randomness come in as arguments, decisions go out as values. */
class CoreImportsTest {
    private static final Path CORE = Path.of("src/main/java/org/mountlug/core");
    private static final Pattern FORBIDDEN = Pattern.compile(
            "import (static )?(java\\.(io|net|nio|util\\.(Random|concurrent|Timer))|javax\\.|io\\.undertow|org\\.xnio|org\\.slf4j"
                    + "|com\\.fasterxml|org\\.mountlug\\.(agent|api|cli|cloud|node|peer|settings|store|wire)\\b).*"
                    + "|.*\\b(System\\.(nanoTime|currentTimeMillis|out|err)|Math\\.random|Instant\\.now|new Thread)\\b.*");

    @Test
    void theCoreTouchesNeitherSocketsNorClocks() throws IOException {
        List<String> found = new ArrayList<>();
        int files = 0;
        try (Stream<Path> paths = Files.walk(CORE)) {
            for (Path path : paths.filter(p -> p.toString().endsWith(".java")).toList()) {
                files++;
                for (String line : Files.readAllLines(path)) {
                    if (FORBIDDEN.matcher(line).matches()) {
                        found.add(path.getFileName() + ": " + line.strip());
                    }
                }
            }
        }
        assertTrue(files > 30, "the core is where this test looks for it");
        assertEquals(List.of(), found);
    }
}
