package org.turmericspan.node;

import java.util.List;
import java.util.stream.Collectors;
import org.turmericspan.errors.ResultCode;

/** Thrown when settings are invalid; lists every error found. */
final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingError> errors;

    InvalidSettingsException(List<SettingError> errors) {
        super(errors.stream().map(SettingError::toString).collect(Collectors.joining("; ")));
        this.errors = List.copyOf(errors);
    }

    List<SettingError> errors() {
        return errors;
    }

    ResultCode code() {
        return ResultCode.INVALID_SETTING;
    }
}
