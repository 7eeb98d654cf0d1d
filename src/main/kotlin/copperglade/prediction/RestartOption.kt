package copperglade.prediction

/**
 * A machine on which a straggler could be restarted, and what is expected of it there.
 *
 * @property fetchSeconds how long the machine has to fetch the image first.
 */
class RestartOption<T>(val target: T, val prediction: RunTimePrediction, val fetchSeconds: Double) {
    /** How long the straggler takes there at worst. */
    val worstSeconds: Double get() = prediction.worstSeconds + fetchSeconds
}
