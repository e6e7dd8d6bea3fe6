//! Reading the current lists.

use base::ini::IniFile;
use object_api::{ObjectKey, ObjectStore, ObjectVersion};
use snafu::ResultExt;

use crate::{
    check::{PLANS_FILE, RIGHTS_FILE},
    image::ListImage,
    set::ListSet,
    store::{
        FaultyListsSnafu, ListError, Result, StoreCallSnafu,
        objects::{HeadObject, ListTexts, TextPart, bad_object, decode_object, head_key},
    },
};

/// Maximum number of attempts to read the lists while concurrent edits remove parts.
const READ_ATTEMPTS: usize = 8;

/// The lists as read from the store.
#[derive(Debug, Clone)]
pub struct LoadedLists {
    /// Object version of the head, for its next conditional update; `None` if there is no head.
    pub head_version: Option<ObjectVersion>,
    /// The head; at version zero if there is none.
    pub head: HeadObject,
    /// Texts of both lists.
    pub texts: ListTexts,
    /// Stored parts of both texts.
    pub parts: Vec<TextPart>,
    /// Sections of both texts.
    pub image: ListImage,
}

impl LoadedLists {
    /// Parses the sections into the set that requests use.
    ///
    /// # Errors
    ///
    /// Fails if a section has faults.
    pub fn list_set(&self) -> Result<ListSet> {
        ListSet::from_image(self.head.version, &self.image).context(FaultyListsSnafu)
    }
}

/// Reads the current lists; `None` before the first accepted edit.
///
/// # Errors
///
/// Fails as [`read_lists`] does, or if a section has faults.
pub async fn load_lists(store: &dyn ObjectStore) -> Result<Option<ListSet>> {
    let lists = read_lists(store).await?;
    if lists.head_version.is_none() {
        return Ok(None);
    }
    lists.list_set().map(Some)
}

/// Reads the head and its object version; `None` if there is no head.
pub async fn read_head(store: &dyn ObjectStore) -> Result<Option<(ObjectVersion, HeadObject)>> {
    let key = head_key();
    let object = store.get(&key).await.context(StoreCallSnafu { key: key.clone() })?;
    let Some(object) = object else { return Ok(None) };
    Ok(Some((object.version, decode_object(&key, &object.body)?)))
}

/// Reads both texts and their image at one version; empty lists if there is no head.
///
/// # Errors
///
/// Fails if the store fails a call, if the stored objects are malformed or do not match the head's
/// checksum, or if concurrent edits prevent every attempt.
pub async fn read_lists(store: &dyn ObjectStore) -> Result<LoadedLists> {
    for _ in 0..READ_ATTEMPTS {
        let Some((version, head)) = read_head(store).await? else { return empty_lists() };
        let plans = read_parts(store, &head.plans).await?;
        let rights = read_parts(store, &head.rights).await?;
        if let (Some(plans), Some(rights)) = (plans, rights) {
            return joined_lists(version, head, plans, rights);
        }
    }
    Err(ListError::ConcurrentEdits)
}

fn joined_lists(
    version: ObjectVersion,
    head: HeadObject,
    plans: Vec<TextPart>,
    rights: Vec<TextPart>,
) -> Result<LoadedLists> {
    let texts = ListTexts { plans: join_parts(&plans), rights: join_parts(&rights) };
    let image = read_image(&texts)?;
    if image.digest() != head.digest {
        return Err(bad_object(&head_key(), "the checksum differs from the parts"));
    }
    let parts = plans.into_iter().chain(rights).collect();
    Ok(LoadedLists { head_version: Some(version), head, texts, parts, image })
}

fn join_parts(parts: &[TextPart]) -> String {
    parts.iter().map(|part| part.text.as_str()).collect()
}

fn read_image(texts: &ListTexts) -> Result<ListImage> {
    let plans = IniFile::parse(PLANS_FILE, &texts.plans).context(FaultyListsSnafu)?;
    let rights = IniFile::parse(RIGHTS_FILE, &texts.rights).context(FaultyListsSnafu)?;
    let image = ListImage::from_files(&plans, &rights);
    image.map_err(|error| bad_object(&head_key(), &error.to_string()))
}

fn empty_lists() -> Result<LoadedLists> {
    Ok(LoadedLists {
        head_version: None,
        head: HeadObject::default(),
        texts: ListTexts::default(),
        parts: Vec::new(),
        image: ListImage::default(),
    })
}

async fn read_parts(store: &dyn ObjectStore, names: &[String]) -> Result<Option<Vec<TextPart>>> {
    let mut parts = Vec::new();
    for name in names {
        let key = ObjectKey::new(name);
        let object = store.get(&key).await.context(StoreCallSnafu { key: key.clone() })?;
        let Some(object) = object else { return Ok(None) };
        let text = String::from_utf8(object.body.to_vec());
        let text = text.map_err(|error| bad_object(&key, &error.to_string()))?;
        parts.push(TextPart { name: name.clone(), text });
    }
    Ok(Some(parts))
}
