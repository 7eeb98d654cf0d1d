package copperglade.settings

/** Thrown for a setting that is missing or invalid; [message] names the setting, in one line. */
class InvalidSettingException(message: String) : Exception(message)
