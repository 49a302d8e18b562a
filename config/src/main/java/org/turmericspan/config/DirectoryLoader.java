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

/** Loads every YAML file of a directory and its subdirectories. Objects in a file are separated by {@code ---}. */
public final class DirectoryLoader {
    private static final int MAX_DIRECTORY_DEPTH = 8;

    private final DocumentParser parser = new DocumentParser();

    /**
     * Loads a directory.
     *
     * @param directory directory with files that end in {@code .yaml} or {@code .yml}
     * @return the objects in the order of their file names, and a fault for each file that cannot be read
     * @throws UncheckedIOException when the directory cannot be listed
     */
    public ObjectSet load(Path directory) {
        List<ObjectSource> objects = new ArrayList<>();
        List<Fault> faults = new ArrayList<>();
        for (Path file : yamlFiles(directory)) {
            loadFile(directory.relativize(file).toString(), file, objects, faults);
        }
        if (objects.isEmpty() && faults.isEmpty()) {
            faults.add(new Fault(directory.toString(), "set", "", "contains no object"));
        }
        return new ObjectSet(0, objects, faults);
    }

    private void loadFile(String relativePath, Path file, List<ObjectSource> objects, List<Fault> faults) {
        try {
            if (Files.size(file) > DocumentParser.MAX_DOCUMENT_BYTES) {
                throw new IllegalArgumentException("is larger than " + DocumentParser.MAX_DOCUMENT_BYTES + " bytes");
            }
            for (JsonNode root : parser.parseYaml(Files.readString(file))) {
                objects.add(new ObjectSource(relativePath, root));
            }
        } catch (CharacterCodingException e) {
            faults.add(new Fault(relativePath, "file", "", "is not UTF-8"));
        } catch (IOException e) {
            faults.add(new Fault(relativePath, "file", "", "cannot be read: " + e.getMessage()));
        } catch (IllegalArgumentException e) {
            faults.add(new Fault(relativePath, "file", "", e.getMessage()));
        }
    }

    private static List<Path> yamlFiles(Path directory) {
        try (Stream<Path> paths = Files.walk(directory, MAX_DIRECTORY_DEPTH)) {
            return paths.filter(DirectoryLoader::isYaml).sorted().toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static boolean isYaml(Path file) {
        String name = file.getFileName().toString();
        return Files.isRegularFile(file) && (name.endsWith(".yaml") || name.endsWith(".yml"));
    }
}
