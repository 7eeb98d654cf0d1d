package copperglade.settings

/** A setting that is missing or makes no sense; [message] names it, in one line. */
class InvalidSettingException(message: String) : Exception(message)
