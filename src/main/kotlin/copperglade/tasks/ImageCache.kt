package copperglade.tasks

import copperglade.protocol.Image
import copperglade.protocol.ImageName

/**
 * Estimates which images a machine has cached. Workers don't report their images; they keep the most recently used images that fit
 * on the disk.
 */
class ImageCache {
    /** Sizes in gigabytes, least recently used first. */
    private val sizeGbByImage = LinkedHashMap<ImageName, Double>()

    /** The images, least recently used first. */
    val images: List<ImageName> get() = sizeGbByImage.keys.toList()

    operator fun contains(image: ImageName): Boolean = image in sizeGbByImage

    /** Adds those of [images], recorded by a former owner, that are missing. Their sizes are unknown and count as zero. */
    fun addRecorded(images: List<ImageName>) = images.forEach { sizeGbByImage.putIfAbsent(it, 0.0) }

    /** Records that a task uses [image], and evicts the least recently used images that exceed the cache size [capacityGb]. */
    fun recordUse(image: Image, capacityGb: Double) {
        sizeGbByImage.remove(image.name)
        sizeGbByImage[image.name] = image.sizeGb
        while (sizeGbByImage.size > 1 && sizeGbByImage.values.sum() > capacityGb) sizeGbByImage.remove(sizeGbByImage.keys.first())
    }
}
