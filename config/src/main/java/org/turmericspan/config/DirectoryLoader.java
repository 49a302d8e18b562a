package org.turmericspan.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Loads every YAML file of a directory and its subdirectories. A file holds objects separated by {@code ---}. */
public final class DirectoryLoader {
    private static final int MAX_DEPTH = 8;

    private final DocumentParser parser = new DocumentParser();

    /**
     * Loads a directory.
     *
     * @param directory holds files that end in {@code .yaml} or {@code .yml}
     * @return the objects in the order of their files' names, and what could not be read
     */
    public ObjectSet load(Path directory) {
        List<ObjectSource> objects = new ArrayList<>();
        List<Fault> faults = new ArrayList<>();
        for (Path file : files(directory)) {
            loadFile(directory.relativize(file).toString(), file, objects, faults);
        }
        if (objects.isEmpty() && faults.isEmpty()) {
            faults.add(new Fault(directory.toString(), "set", "", "holds no object"));
        }
        return new ObjectSet(0, objects, faults);
    }

    private void loadFile(String name, Path file, List<ObjectSource> objects, List<Fault> faults) {
        try {
            if (Files.size(file) > DocumentParser.MAX_DOCUMENT_BYTES) {
                throw new IllegalArgumentException("is larger than " + DocumentParser.MAX_DOCUMENT_BYTES + " bytes");
            }
            for (JsonNode root : parser.parseYaml(Files.readString(file))) {
                objects.add(new ObjectSource(name, root));
            }
        } catch (CharacterCodingException e) {
            faults.add(new Fault(name, "file", "", "is not UTF-8"));
        } catch (IOException e) {
            faults.add(new Fault(name, "file", "", "cannot be read: " + e.getMessage()));
        } catch (IllegalArgumentException e) {
            faults.add(new Fault(name, "file", "", e.getMessage()));
        }
    }

    private static List<Path> files(Path directory) {
        try (Stream<Path> found = Files.walk(directory, MAX_DEPTH)) {
            return found.filter(DirectoryLoader::isYaml).sorted().toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static boolean isYaml(Path file) {
        String name = file.getFileName().toString();
        return Files.isRegularFile(file) && (name.endsWith(".yaml") || name.endsWith(".yml"));
    }
}
